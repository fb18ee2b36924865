use {
    super::{
        engine::EngineModel,
        polling::{ENGINES_PER_ROUND, REPORT_INTERVAL_US},
        run::{Event, Run, new_policy},
    },
    rand::Rng,
};

/// Crashes, restarts and timeouts of callers.
impl Run {
    /// Removes a request without a first token from its queue. One that is being
    /// computed goes on.
    pub(super) fn time_out(&mut self, id: u64) {
        let request_state = self.request_states[id as usize].clone();
        if request_state.is_finished || self.outcomes[id as usize].first_token_us.is_some() {
            return;
        }
        let instance = self.requests[id as usize].instance;
        if self.instances[instance].cancel(id) {
            self.request_states[id as usize].is_finished = true;
        } else if let Some((engine, _)) = request_state.assigned_to
            && self.engines[engine].remove_waiting(id)
        {
            self.request_states[id as usize].is_finished = true;
            self.release(id, engine, None);
        }
    }

    /// Sends a request whose engine crashed to another engine.
    pub(super) fn reroute(&mut self, id: u64, failed_engine: usize) {
        self.release(id, failed_engine, None);
        let request = self.requests[id as usize].clone();
        let now_ms = self.now_ms();
        let actions = self.instances[request.instance].reroute(&request, failed_engine, now_ms);
        self.act(actions);
    }

    /// Replaces an engine by an empty one that is down, and reroutes its requests.
    pub(super) fn crash(&mut self, engine: usize) {
        let incarnation = self.engines[engine].incarnation;
        self.engines[engine] = EngineModel::new(incarnation + 1_000);
        self.engines[engine].is_up = false;
        let lost: Vec<u64> = (0..self.request_states.len() as u64)
            .filter(|id| {
                self.request_states[*id as usize].assigned_to == Some((engine, incarnation))
            })
            .collect();
        for id in lost {
            self.reroute(id, engine);
        }
    }

    /// Replaces an instance by a new one without state. Callers that had not
    /// received a first token retry within 1 s.
    pub(super) fn restart(&mut self, instance: usize) {
        let seed = self.rng.random();
        self.instances[instance] = new_policy(&self.settings, instance, seed);
        for engine in 0..self.engines.len() {
            let at_us = self.now_us + (engine / ENGINES_PER_ROUND) as u64 * REPORT_INTERVAL_US;
            self.schedule(at_us, Event::Report { instance, engine });
        }
        for id in 0..self.requests.len() {
            let request = &self.requests[id];
            let has_arrived = request.at_us <= self.now_us && request.instance == instance;
            if !has_arrived || self.request_states[id].is_finished {
                continue;
            }
            self.request_states[id].assigned_to = None;
            if self.outcomes[id].first_token_us.is_none() {
                let at_us = self.now_us + self.rng.random_range(0..1_000_000);
                self.schedule(at_us, Event::Arrive(id as u64));
            }
        }
    }
}
