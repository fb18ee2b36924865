/// Timeouts and bounds of the heartbeats between instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MeshSettings {
    /// Interval between two heartbeats.
    pub heartbeat_interval_ms: u64,
    /// Silence after which callers are no longer sent to a peer. It covers four
    /// heartbeats, since two may be lost on a bad link.
    pub silent_after_ms: u64,
    /// Silence after which a peer's share of rates goes to others. It is longer
    /// than a rate window, because the peer may still be serving behind a
    /// network partition.
    pub gone_after_ms: u64,
    /// Time for which heartbeats are sent to a candidate address that never
    /// answers.
    pub candidate_ms: u64,
    /// Maximum number of peers and candidate addresses for which each heartbeat
    /// is sent directly to all of them.
    ///
    /// Above it, one peer in each other failure domain gets the heartbeat and
    /// relays it, because traffic between domains costs money. All peers still
    /// receive every heartbeat, within one heartbeat interval. If the peers of a
    /// large fleet took turns instead, each would receive so few heartbeats that
    /// it took others for silent.
    pub max_direct_peers: usize,
    /// Maximum number of peers for which each heartbeat is relayed on its own. Above
    /// it, heartbeats are sent in packs; see [`super::MemberTable::pack`]. At a hundred peers
    /// an instance receives 500 datagrams a second, and the number grows with them.
    pub max_relayed_peers: usize,
    /// Maximum number of heartbeats of one pack, and the size of the groups that send
    /// them. With more, the instances of a group send each other more single heartbeats
    /// than they save; with fewer, there are more packs to relay.
    pub max_pack_size: usize,
    /// Maximum number of heartbeats from other failure domains that an instance
    /// receives a second, by which the interval of packs grows with the fleet. A
    /// small machine has a tenth of a core and 20 Mbit/s.
    pub max_far_heartbeats_per_s: usize,
    /// Maximum rate at which the heartbeats of all instances arrive at each, by which
    /// the interval of packs grows with their size. An instance relays about as many
    /// bytes as it receives, and a small machine has a link of 10 Mbit/s: together they
    /// take a third of it, and what must arrive in time (the configuration, weights,
    /// engines that leave) has the rest.
    pub max_heartbeat_bytes_per_s: f64,
    /// Minimum interval between two heartbeats, also when others should hear of
    /// something at once. When a large fleet starts, each instance hears of a new
    /// peer hundreds of times within a second, and an answer to each fills the links
    /// of all for several seconds.
    pub min_interval_ms: u64,
    /// Maximum number of datagrams that an instance relays a second, and at once. It is
    /// more than twice of what any fleet needs that is complete, so it only applies
    /// while one starts and its instances disagree on who sends packs.
    pub max_relayed_per_s: f64,
}

impl Default for MeshSettings {
    fn default() -> MeshSettings {
        MeshSettings {
            heartbeat_interval_ms: 200,
            silent_after_ms: 900,
            gone_after_ms: 30_000,
            candidate_ms: 6_000,
            max_direct_peers: 16,
            max_relayed_peers: 100,
            max_pack_size: 8,
            max_far_heartbeats_per_s: 600,
            max_heartbeat_bytes_per_s: 200_000.0,
            min_interval_ms: 40,
            max_relayed_per_s: 1_000.0,
        }
    }
}

impl MeshSettings {
    /// Returns after how many milliseconds a heartbeat that should be sent at once
    /// may follow one sent at `last_sent_ms`.
    pub fn wake_delay_ms(&self, last_sent_ms: u64, now_ms: u64) -> u64 {
        (last_sent_ms + self.min_interval_ms).saturating_sub(now_ms)
    }
}
