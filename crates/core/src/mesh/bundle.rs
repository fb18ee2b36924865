use super::{BUNDLE_BYTES, Heartbeat, split_packs};

/// Heartbeats that an instance gathers for a moment before it passes them on to its
/// group, so that these are few datagrams.
#[derive(Debug, Default)]
pub struct Bundle {
    held: Vec<(u64, Heartbeat)>,
}

impl Bundle {
    /// Adds the heartbeats of a pack. Returns whether they are the first since the last
    /// ones were taken.
    pub fn add(&mut self, pack: &[Heartbeat], now_ms: u64) -> bool {
        let is_first = self.held.is_empty();
        let received = pack.iter().map(|heartbeat| (now_ms, heartbeat.clone()));
        self.held.extend(received);
        is_first && !self.held.is_empty()
    }

    /// Takes the heartbeats that were gathered, as packs that fit a datagram. Of two by
    /// the same author only the newer one is left.
    pub fn take(&mut self, now_ms: u64) -> Vec<Vec<Heartbeat>> {
        let mut held = std::mem::take(&mut self.held);
        let order = |heartbeat: &Heartbeat| (heartbeat.incarnation, heartbeat.sequence);
        held.sort_by(|(_, a), (_, b)| (&a.name, order(b)).cmp(&(&b.name, order(a))));
        held.dedup_by(|(_, older), (_, newer)| older.name == newer.name);
        let aged = held
            .into_iter()
            .map(|(received_ms, heartbeat)| heartbeat.held_for((now_ms - received_ms) as u32));
        split_packs(aged, BUNDLE_BYTES)
    }
}
