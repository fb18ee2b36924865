use {
    super::{
        engine::EngineModel,
        reads::{ASKED_A_ROUND, REPORT_ROUND_US},
        run::{Event, Run, policy},
    },
    rand::Rng,
};

/// What fails, and callers who leave.
impl Run {
    pub(super) fn give_up(&mut self, id: u64) {
        let place = self.places[id as usize].clone();
        if place.over || self.outcomes[id as usize].first_token_us.is_some() {
            return;
        }
        let instance = self.requests[id as usize].instance;
        if self.instances[instance].leave(id) {
            self.places[id as usize].over = true;
        } else if let Some((engine, _)) = place.on
            && self.engines[engine].drop_waiting(id)
        {
            self.places[id as usize].over = true;
            self.settle(id, engine, None);
        }
    }

    pub(super) fn again(&mut self, id: u64, dead: usize) {
        self.settle(id, dead, None);
        let request = self.requests[id as usize].clone();
        let now_ms = self.now_ms();
        let actions = self.instances[request.instance].again(&request, dead, now_ms);
        self.act(actions);
    }

    pub(super) fn crash(&mut self, engine: usize) {
        let incarnation = self.engines[engine].incarnation;
        self.engines[engine] = EngineModel::new(incarnation + 1_000);
        self.engines[engine].up = false;
        let lost: Vec<u64> = (0..self.places.len() as u64)
            .filter(|id| self.places[*id as usize].on == Some((engine, incarnation)))
            .collect();
        for id in lost {
            self.again(id, engine);
        }
    }

    /// Replaces an instance. Callers whose first token had not come send
    /// their request again within a second.
    pub(super) fn restart(&mut self, instance: usize) {
        let seed = self.rng.random();
        self.instances[instance] = policy(&self.settings, instance, seed);
        for engine in 0..self.engines.len() {
            let at_us = self.now_us + (engine / ASKED_A_ROUND) as u64 * REPORT_ROUND_US;
            self.at(at_us, Event::Report { instance, engine });
        }
        for id in 0..self.requests.len() {
            let request = &self.requests[id];
            let came = request.at_us <= self.now_us && request.instance == instance;
            if !came || self.places[id].over {
                continue;
            }
            self.places[id].on = None;
            if self.outcomes[id].first_token_us.is_none() {
                let at_us = self.now_us + self.rng.random_range(0..1_000_000);
                self.at(at_us, Event::Arrive(id as u64));
            }
        }
    }
}
