use {super::Instance, mangowalk_core::pool::ReplacedEngine};

impl Instance {
    /// Applies what a peer tells of engines at whose addresses others listen.
    pub fn receive_replaced(&self, reports: &[ReplacedEngine], _now_ms: u64) {
        for _ in reports {
            self.counters.count("engine_replaced", "peer");
        }
    }
}
