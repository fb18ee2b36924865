use {super::Instance, mangowalk_core::capacity::PaceReport};

impl Instance {
    /// Applies what a peer tells of the pace of engines.
    pub fn receive_paces(&self, reports: &[PaceReport], _now_ms: u64) {
        for _ in reports {
            self.counters.count("engine_pace", "peer");
        }
    }
}
