/// How an instance finds out that it reaches no engine of a service, and tells its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PathSettings {
    /// Engines of the service that are tried first when one has accepted no connection.
    /// Each that accepts one shows that the path is there.
    pub first_sample: usize,
    /// Engines that are tried if none of these accepts a connection. The path counts as
    /// lost only if all of them fail, so that a crash of most engines isn't taken for it.
    pub full_sample: usize,
    /// Engines of the service that are tried at a time while the path is lost. More would
    /// burden the engines when many instances are cut off together.
    pub return_sample: usize,
    /// Interval of these attempts.
    pub return_interval_ms: u64,
    /// Minimum interval of the reports to peers while the path is lost.
    pub report_interval_ms: u64,
    /// Maximum number of these reports a second, to all peers together. In a large fleet
    /// it lengthens the interval.
    pub max_reports_per_s: u64,
    /// Time for which a peer that failed gets no further requests.
    pub peer_pause_ms: u64,
    /// Maximum number of open requests that an instance has passed on to one peer. Each
    /// takes a descriptor and a buffer at both.
    pub max_open_per_peer: u32,
}

impl Default for PathSettings {
    fn default() -> PathSettings {
        PathSettings {
            first_sample: 2,
            full_sample: 24,
            return_sample: 3,
            return_interval_ms: 400,
            report_interval_ms: 300,
            max_reports_per_s: 500,
            peer_pause_ms: 1_000,
            max_open_per_peer: 256,
        }
    }
}

/// Number of report intervals for which a report holds; some are lost.
const VALID_INTERVALS: u64 = 4;

impl PathSettings {
    /// Returns the interval of the reports to `peers` peers.
    pub fn report_interval_ms(&self, peers: usize) -> u64 {
        let by_count_ms = peers as u64 * 1_000 / self.max_reports_per_s.max(1);
        by_count_ms.max(self.report_interval_ms)
    }

    /// Returns the time for which a report to `peers` peers holds.
    pub fn report_valid_ms(&self, peers: usize) -> u64 {
        self.report_interval_ms(peers) * VALID_INTERVALS
    }
}
