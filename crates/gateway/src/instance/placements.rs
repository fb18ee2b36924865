use {super::Instance, mangowalk_core::pool::short_hash};

/// Time for which a placement is reported to peers: two heartbeats, as one may be
/// lost.
const PLACEMENT_REPORT_MS: u64 = 450;

/// Time within which a part at an engine isn't reported again. The first parts of
/// prompts are used many times a second.
const PLACEMENT_REPEAT_MS: u64 = 1_000;

/// Maximum number of placements in one heartbeat, so that it fits one datagram.
const MAX_PLACEMENTS: usize = 48;

/// Where this instance has shared parts of prompts cached.
impl Instance {
    /// Records that an engine has cached a shared part, and queues the placement
    /// for the peers unless it was reported recently.
    pub fn record_part(&self, part: u64, engine: &str, now_ms: u64) {
        let mut engines = self.engines.borrow_mut();
        let Some(known_engine) = engines.get_mut(engine) else {
            return;
        };
        let was_reported = known_engine.has_cached(part, PLACEMENT_REPEAT_MS, now_ms);
        known_engine.record_part(part, now_ms);
        if was_reported {
            return;
        }
        let mut placements = self.placements.borrow_mut();
        placements.push_back((now_ms, part, short_hash(engine)));
        while placements.len() > MAX_PLACEMENTS {
            placements.pop_front();
        }
    }

    /// Returns the shared parts to report to peers, each with the short hash of its
    /// engine's name.
    pub fn recent_placements(&self, now_ms: u64) -> Vec<(u64, u32)> {
        let placements = self.placements.borrow();
        let recent = placements
            .iter()
            .filter(|(recorded_ms, _, _)| now_ms < recorded_ms + PLACEMENT_REPORT_MS);
        recent.map(|(_, part, engine)| (*part, *engine)).collect()
    }
}
