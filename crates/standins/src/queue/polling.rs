use super::run::{Event, Run};

/// Number of engines whose state, or whose cache events, an instance reads in
/// one round, as in the running router for fleets of up to 32 engines.
pub(super) const ENGINES_PER_ROUND: usize = 8;

/// Time between two rounds of reading states.
pub(super) const REPORT_INTERVAL_US: u64 = 250_000;

/// Time between two rounds of reading cache events.
const EVENTS_INTERVAL_US: u64 = 200_000;

/// Reads of engine states and cache events by instances.
impl Run {
    /// Schedules the first reads of an instance.
    pub(super) fn schedule_reads(&mut self, instance: usize, from_us: u64) {
        for engine in 0..self.settings.deployment.engines {
            let round = (engine / ENGINES_PER_ROUND) as u64;
            let at_us = from_us + round * REPORT_INTERVAL_US;
            self.schedule(at_us, Event::Report { instance, engine });
            let at_us = from_us + round * EVENTS_INTERVAL_US;
            self.schedule(at_us, Event::ReadEvents { instance, engine });
        }
    }

    /// Reads the state of an engine and schedules the next read.
    pub(super) fn report(&mut self, instance: usize, engine: usize) {
        let state = self.engines[engine].state();
        let now_ms = self.now_ms();
        let actions = self.instances[instance].report(engine, state.as_ref(), now_ms);
        self.act(actions);
        let rounds = self.settings.deployment.engines.div_ceil(ENGINES_PER_ROUND) as u64;
        let at_us = self.now_us + rounds * REPORT_INTERVAL_US;
        self.schedule(at_us, Event::Report { instance, engine });
    }

    /// Reads the cache events of an engine and schedules the next read. Stops if
    /// the policy does not read them.
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
