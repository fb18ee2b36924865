use {
    super::{
        Deployment, PolicyKind,
        deployment::{SLOTS, TEAM_SHARES},
        policy::{Action, Policy},
        request::Request,
    },
    mangowalk_core::engine::EngineState,
    std::collections::{HashMap, VecDeque},
};

/// An engine's load as known to a baseline policy.
#[derive(Debug, Clone, Default)]
struct EngineView {
    is_up: bool,
    /// Running and waiting requests by the last report.
    reported: u32,
    /// Requests sent minus requests ended since the last report.
    since_report: i32,
    /// Open requests of this instance.
    open_requests: u32,
}

impl EngineView {
    fn load(&self) -> u32 {
        self.reported
            .saturating_add_signed(self.since_report)
            .max(self.open_requests)
    }
}

/// One instance with a baseline policy.
pub(super) struct Baseline {
    kind: PolicyKind,
    engines: Vec<EngineView>,
    instances: u32,
    /// Incremented per request; where round robin and ties between equally loaded
    /// engines start.
    next_engine: usize,
    queues: Vec<VecDeque<(u64, usize)>>,
    team_running: [u32; TEAM_SHARES.len()],
    team_of: HashMap<u64, usize>,
}

impl Baseline {
    pub(super) fn new(deployment: &Deployment, kind: PolicyKind, instance: usize) -> Baseline {
        let view = EngineView {
            is_up: true,
            ..EngineView::default()
        };
        Baseline {
            kind,
            engines: vec![view; deployment.engines],
            instances: deployment.instances as u32,
            next_engine: instance,
            queues: vec![VecDeque::new(); TEAM_SHARES.len()],
            team_running: [0; TEAM_SHARES.len()],
            team_of: HashMap::new(),
        }
    }

    fn send(&mut self, id: u64, engine: usize) -> Action {
        let view = &mut self.engines[engine];
        view.since_report += 1;
        view.open_requests += 1;
        if let Some(team) = self.team_of.get(&id) {
            self.team_running[*team] += 1;
        }
        Action::Send {
            id,
            engine,
            import_blocks: 0,
        }
    }

    /// Returns the engine with the least load, preferring engines that are up.
    fn least_loaded(&self) -> usize {
        let first = self.next_engine;
        let count = self.engines.len();
        (0..count)
            .map(|i| (i + first) % count)
            .min_by_key(|e| (!self.engines[*e].is_up, self.engines[*e].load()))
            .unwrap_or_default()
    }

    /// Returns the engine given by the hash of the shared prefix, or the next one
    /// that is up.
    fn engine_by_hash(&self, request: &Request) -> usize {
        let key = request.chain[request.shared_blocks - 1];
        let count = self.engines.len();
        (0..count)
            .map(|i| (key as usize).wrapping_add(i) % count)
            .find(|e| self.engines[*e].is_up)
            .unwrap_or_default()
    }

    fn send_now(&mut self, request: &Request) -> Action {
        self.next_engine += 1;
        let engine = match self.kind {
            PolicyKind::RoundRobin => self.next_engine % self.engines.len(),
            PolicyKind::PrefixHash => self.engine_by_hash(request),
            _ => self.least_loaded(),
        };
        self.send(request.id, engine)
    }

    fn has_queue(&self) -> bool {
        matches!(self.kind, PolicyKind::Fifo | PolicyKind::StaticShares)
    }

    /// Returns whether a team may use one more slot. Every team may always use
    /// one; with one FIFO queue, shares don't apply.
    fn has_share(&self, team: usize) -> bool {
        if self.kind == PolicyKind::Fifo {
            return true;
        }
        let slots = self.engines.len() as f64 * f64::from(SLOTS) / f64::from(self.instances);
        f64::from(self.team_running[team]) < (slots * TEAM_SHARES[team]).max(1.0)
    }

    /// Sends queued requests in the order of arrival while an engine has a free
    /// slot; with static shares, only those of teams within their share.
    fn drain(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        loop {
            let engine = self.least_loaded();
            if self.engines[engine].load() >= SLOTS {
                return actions;
            }
            let next = (0..self.queues.len())
                .filter(|team| self.has_share(*team))
                .filter_map(|team| self.queues[team].front().map(|(id, _)| (*id, team)))
                .min();
            let Some((id, team)) = next else {
                return actions;
            };
            self.queues[team].pop_front();
            self.next_engine += 1;
            actions.push(self.send(id, engine));
        }
    }
}

impl Policy for Baseline {
    fn arrive(
        &mut self,
        request: &Request,
        _cache_store_blocks: usize,
        _now_ms: u64,
    ) -> Vec<Action> {
        self.team_of.insert(request.id, request.team);
        if !self.has_queue() {
            return vec![self.send_now(request)];
        }
        self.queues[request.team].push_back((request.id, request.team));
        self.drain()
    }

    fn reroute(&mut self, request: &Request, failed_engine: usize, _now_ms: u64) -> Vec<Action> {
        self.engines[failed_engine].is_up = false;
        vec![self.send_now(request)]
    }

    fn report(&mut self, engine: usize, state: Option<&EngineState>, _now_ms: u64) -> Vec<Action> {
        let view = &mut self.engines[engine];
        view.is_up = state.is_some();
        view.reported = state.map_or(0, |s| s.load.running + s.load.waiting);
        view.since_report = 0;
        if self.has_queue() {
            self.drain()
        } else {
            Vec::new()
        }
    }

    fn first_token(&mut self, _id: u64, _now_ms: u64) {}

    fn ended(
        &mut self,
        id: u64,
        engine: usize,
        _cached_blocks: Option<usize>,
        _now_ms: u64,
    ) -> Vec<Action> {
        let view = &mut self.engines[engine];
        view.since_report -= 1;
        view.open_requests = view.open_requests.saturating_sub(1);
        if let Some(team) = self.team_of.get(&id) {
            self.team_running[*team] = self.team_running[*team].saturating_sub(1);
        }
        if self.has_queue() {
            self.drain()
        } else {
            Vec::new()
        }
    }

    fn cancel(&mut self, id: u64) -> bool {
        let Some(team) = self.team_of.get(&id) else {
            return false;
        };
        let queue = &mut self.queues[*team];
        let before = queue.len();
        queue.retain(|(waiting, _)| *waiting != id);
        before > queue.len()
    }

    fn tick(&mut self, _now_ms: u64) -> Vec<Action> {
        Vec::new()
    }
}
