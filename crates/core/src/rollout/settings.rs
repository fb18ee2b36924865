/// Times and bounds of a rollout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutSettings {
    /// Engines that load at the same time. More would load slower, and each
    /// is capacity that is missing.
    pub concurrent_loads: usize,
    /// Most engines out at once, in percent of all. One may be out in any
    /// fleet of two or more.
    pub max_drained_percent: usize,
    /// Time after a drain mark in which every instance takes notice.
    pub drain_propagation_ms: u64,
    /// Time for which a drained engine may go on serving what it has. It is
    /// as long as a request may take.
    pub drain_timeout_ms: u64,
    /// Time after which an order without visible effect is repeated.
    pub order_retry_ms: u64,
    /// Orders without effect after which the version is given up.
    pub max_orders: u32,
    /// Time for which weights may load.
    pub load_timeout_ms: u64,
    /// Failed probes after which the version is given up.
    pub max_failed_probes: u32,
    /// Time for which an engine may not answer before it is put back, so
    /// that a dead one does not hold up the others.
    pub unresponsive_timeout_ms: u64,
    /// Time that a new holder of the lease waits before it orders engines
    /// that ignore fencing: an order of the holder before it may still be on
    /// its way.
    pub unfenced_wait_ms: u64,
}

impl Default for RolloutSettings {
    fn default() -> RolloutSettings {
        RolloutSettings {
            concurrent_loads: 2,
            max_drained_percent: 25,
            drain_propagation_ms: 2_000,
            drain_timeout_ms: 120_000,
            order_retry_ms: 5_000,
            max_orders: 3,
            load_timeout_ms: 60_000,
            max_failed_probes: 2,
            unresponsive_timeout_ms: 10_000,
            unfenced_wait_ms: 2_000,
        }
    }
}
