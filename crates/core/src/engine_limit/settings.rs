/// How instances keep together to the limits that engines name.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineLimitSettings {
    /// Longest time between two requests of an instance that may send some to an engine.
    /// More instances than it allows for would wait too long each.
    pub turn_ms: u64,
    /// Time of its rate that an instance may save up where that is more than a request.
    pub burst_ms: u64,
    /// Lowest rate that is used. Without any request, nobody would hear that an engine takes
    /// more again.
    pub min_per_s: f64,
    /// Time after the start in which an instance doesn't know yet among how many a limit is
    /// divided.
    pub learning_ms: u64,
    /// Fraction of a limit that an instance uses which doesn't know the others: its part in
    /// a fleet of a thousand.
    pub unknown_fraction: f64,
    /// Time for which the position among the instances holds. Computing it walks through
    /// all of them.
    pub position_valid_ms: u64,
    /// Minimum time between two messages to peers about an engine, which may change its
    /// limit in each answer.
    pub min_report_interval_ms: u64,
    /// Interval at which the first of the instances that send to an engine tells the others
    /// its limit again, for those that a message didn't reach.
    pub report_interval_ms: u64,
    /// Time after which a limit is forgotten that neither the engine nor a peer repeats.
    pub valid_ms: u64,
}

impl Default for EngineLimitSettings {
    fn default() -> EngineLimitSettings {
        EngineLimitSettings {
            turn_ms: 2_000,
            burst_ms: 250,
            min_per_s: 0.2,
            learning_ms: 2_000,
            unknown_fraction: 0.001,
            position_valid_ms: 1_000,
            min_report_interval_ms: 200,
            report_interval_ms: 5_000,
            valid_ms: 30_000,
        }
    }
}
