use derive_more::Display;

/// Progress of a change of one model's weights, for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Display)]
#[display(
    "left={left} loading={loading} paused={paused} limit={limit} load_ms={load_ms} expected_end_ms={}",
    self.expected_end_ms()
)]
pub struct ChangeProgress {
    /// Responsive engines that lack the newest weights.
    pub left: usize,
    /// Those of them that have an order.
    pub loading: usize,
    /// Those of them that get no new requests and have no order.
    pub paused: usize,
    /// Limit of concurrent loads.
    pub limit: usize,
    /// Expected duration of a load in milliseconds.
    pub load_ms: u64,
}

impl ChangeProgress {
    /// Returns after how many milliseconds the change is expected to end, counting a
    /// full load for each engine that is loading.
    pub fn expected_end_ms(&self) -> u64 {
        let rounds = self.left.div_ceil(self.limit.max(1)) as u64;
        rounds * self.load_ms
    }
}
