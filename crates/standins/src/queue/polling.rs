use super::run::{Event, Run};

/// Engines whose state, or whose events, an instance reads in one round; as
/// in the running router.
pub(super) const ENGINES_PER_ROUND: usize = 8;

/// Time between two rounds of reports.
pub(super) const REPORT_INTERVAL_US: u64 = 250_000;

const EVENTS_INTERVAL_US: u64 = 200_000;

/// What instances read of engines.
impl Run {
    pub(super) fn schedule_reads(&mut self, instance: usize, from_us: u64) {
        for engine in 0..self.settings.deployment.engines {
            let round = (engine / ENGINES_PER_ROUND) as u64;
            let at_us = from_us + round * REPORT_INTERVAL_US;
            self.schedule(at_us, Event::Report { instance, engine });
            let at_us = from_us + round * EVENTS_INTERVAL_US;
            self.schedule(at_us, Event::ReadEvents { instance, engine });
        }
    }

    pub(super) fn report(&mut self, instance: usize, engine: usize) {
        let state = self.engines[engine].state();
        let now_ms = self.now_ms();
        let actions = self.instances[instance].report(engine, state.as_ref(), now_ms);
        self.act(actions);
        let rounds = self.settings.deployment.engines.div_ceil(ENGINES_PER_ROUND) as u64;
        let at_us = self.now_us + rounds * REPORT_INTERVAL_US;
        self.schedule(at_us, Event::Report { instance, engine });
    }

    pub(super) fn read_events(&mut self, instance: usize, engine: usize) {
        let Some(from) = self.instances[instance].events_from(engine) else {
            return;
        };
        let model = &self.engines[engine];
        let events = model.cache.events(model.incarnation, from);
        self.instances[instance].cache_events(engine, &events);
        let rounds = self.settings.deployment.engines.div_ceil(ENGINES_PER_ROUND) as u64;
        let at_us = self.now_us + rounds * EVENTS_INTERVAL_US;
        self.schedule(at_us, Event::ReadEvents { instance, engine });
    }
}
