use std::{cell::RefCell, collections::BTreeMap, fmt::Write};

/// Way of a datagram, seen from this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Direction {
    /// To a peer.
    Sent,
    /// From a peer.
    Received,
}

#[derive(Debug, Clone, Copy, Default)]
struct Volume {
    datagrams: u64,
    bytes: u64,
}

/// Datagrams and bytes that this instance has exchanged with its peers since it
/// started, by kind of message, without the headers of IP and UDP.
#[derive(Debug, Default)]
pub struct MeshTraffic {
    volumes: RefCell<BTreeMap<(Direction, &'static str), Volume>>,
}

impl MeshTraffic {
    /// Counts a datagram.
    pub fn count(&self, direction: Direction, kind: &'static str, bytes: usize) {
        let mut volumes = self.volumes.borrow_mut();
        let volume = volumes.entry((direction, kind)).or_default();
        volume.datagrams += 1;
        volume.bytes += bytes as u64;
    }

    /// Returns all metrics in the Prometheus text format: sums, and bytes by kind.
    pub fn render(&self) -> String {
        let mut text = String::new();
        for (direction, name) in [(Direction::Sent, "sent"), (Direction::Received, "received")] {
            let volumes = self.volumes.borrow();
            let volumes = volumes.iter().filter(|((of, _), _)| *of == direction);
            let mut sum = Volume::default();
            for ((_, kind), volume) in volumes {
                sum.datagrams += volume.datagrams;
                sum.bytes += volume.bytes;
                // Writing to a string can't fail.
                let _ = writeln!(
                    text,
                    "mangowalk_mesh_bytes_total{{direction=\"{name}\",kind=\"{kind}\"}} {}",
                    volume.bytes,
                );
            }
            let _ = writeln!(
                text,
                "mangowalk_mesh_{name}_datagrams_total {}\nmangowalk_mesh_{name}_bytes_total {}",
                sum.datagrams, sum.bytes,
            );
        }
        text
    }
}
