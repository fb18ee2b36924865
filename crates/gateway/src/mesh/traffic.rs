use std::cell::Cell;

/// Datagrams and bytes that this instance has exchanged with its peers since it
/// started, without the headers of IP and UDP.
#[derive(Debug, Default)]
pub struct MeshTraffic {
    sent_datagrams: Cell<u64>,
    sent_bytes: Cell<u64>,
    received_datagrams: Cell<u64>,
    received_bytes: Cell<u64>,
}

impl MeshTraffic {
    /// Counts a datagram that was sent to one peer.
    pub fn count_sent(&self, bytes: usize) {
        add(&self.sent_datagrams, 1);
        add(&self.sent_bytes, bytes as u64);
    }

    /// Counts a datagram that was received.
    pub fn count_received(&self, bytes: usize) {
        add(&self.received_datagrams, 1);
        add(&self.received_bytes, bytes as u64);
    }

    /// Returns the name and value of each count.
    pub fn counts(&self) -> [(&'static str, u64); 4] {
        [
            ("sent_datagrams", self.sent_datagrams.get()),
            ("sent_bytes", self.sent_bytes.get()),
            ("received_datagrams", self.received_datagrams.get()),
            ("received_bytes", self.received_bytes.get()),
        ]
    }
}

fn add(count: &Cell<u64>, amount: u64) {
    count.set(count.get() + amount);
}
