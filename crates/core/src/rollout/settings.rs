/// Timeouts and limits of a rollout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutSettings {
    /// Maximum number of engines that load or are drained at the same time. More
    /// would load more slowly, and each one takes away capacity.
    pub concurrent_loads: usize,
    /// Maximum share of engines drained at the same time, in percent. In any
    /// fleet of two or more, one engine may be drained.
    pub max_drained_percent: usize,
    /// Time for a drain mark to reach all instances, in milliseconds.
    pub drain_propagation_ms: u64,
    /// Time for which a drained engine may finish its requests, in milliseconds.
    /// Equals the maximum duration of a request.
    pub drain_timeout_ms: u64,
    /// Time after which an order without visible effect is sent again, in
    /// milliseconds.
    pub order_retry_ms: u64,
    /// Number of orders without effect after which the version fails.
    pub max_orders: u32,
    /// Maximum duration of a load, in milliseconds.
    pub load_timeout_ms: u64,
    /// Number of consecutive failed probes after which the version fails.
    pub max_failed_probes: u32,
    /// Time without an answer after which an engine is undrained, in
    /// milliseconds, so that a dead engine does not block the rollout.
    pub unresponsive_timeout_ms: u64,
    /// Time that a new lease holder waits before it sends orders to engines
    /// without fencing, in milliseconds: an order of the previous holder may
    /// still be in flight.
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
