/// Bounds on the retries to one service by all instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetrySettings {
    /// Allowed retries per request, as a fraction.
    pub ratio: f64,
    /// Retries allowed in a window in addition to the ratio.
    pub slack: f64,
    /// Length of the sliding window, in milliseconds.
    pub window_ms: u64,
    /// Fraction of both bounds that instances use which know what they have spent in the
    /// window. The rest covers those that don't, and calls that engines make themselves.
    pub usable_fraction: f64,
    /// Fraction of both bounds that instances use in the first window after their start.
    /// What their predecessors spent is lost, and may have been all that was usable.
    pub restart_fraction: f64,
    /// Time for which a peer that was lost, and may be serving behind a network
    /// partition, still has its part of the slack.
    pub lost_peer_ms: u64,
    /// Number of peers that are asked at a time to lend retries.
    pub lenders: usize,
    /// Number of peers that are asked in a fleet so large that the parts of a few are less
    /// than one retry.
    pub max_lenders: usize,
    /// Minimum time between two requests for loans while peers lend.
    pub loan_interval_ms: u64,
    /// Time after which peers are asked again that had nothing to lend.
    pub loan_pause_ms: u64,
    /// Longest time that a retry waits for a loan.
    pub loan_answer_ms: u64,
    /// Time after the request within which lent retries have to be used.
    pub loan_valid_ms: u64,
}

impl Default for RetrySettings {
    fn default() -> RetrySettings {
        RetrySettings {
            ratio: 0.2,
            slack: 50.0,
            window_ms: 10_000,
            usable_fraction: 0.8,
            restart_fraction: 0.15,
            lost_peer_ms: 600_000,
            lenders: 3,
            max_lenders: 8,
            loan_interval_ms: 50,
            loan_pause_ms: 400,
            loan_answer_ms: 40,
            loan_valid_ms: 1_000,
        }
    }
}
