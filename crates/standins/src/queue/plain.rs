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

/// One engine as a baseline sees it.
#[derive(Debug, Clone, Default)]
struct Seen {
    up: bool,
    reported: u32,
    since_report: i32,
    own: u32,
}

impl Seen {
    fn load(&self) -> u32 {
        self.reported
            .saturating_add_signed(self.since_report)
            .max(self.own)
    }
}

/// One instance with a plain policy.
pub(super) struct Plain {
    kind: PolicyKind,
    engines: Vec<Seen>,
    instances: u32,
    turn: usize,
    queues: Vec<VecDeque<(u64, usize)>>,
    team_running: [u32; TEAM_SHARES.len()],
    team_of: HashMap<u64, usize>,
}

impl Plain {
    pub(super) fn new(deployment: &Deployment, kind: PolicyKind, instance: usize) -> Plain {
        let seen = Seen {
            up: true,
            ..Seen::default()
        };
        Plain {
            kind,
            engines: vec![seen; deployment.engines],
            instances: deployment.instances as u32,
            turn: instance,
            queues: vec![VecDeque::new(); TEAM_SHARES.len()],
            team_running: [0; TEAM_SHARES.len()],
            team_of: HashMap::new(),
        }
    }

    fn send(&mut self, id: u64, engine: usize) -> Action {
        let seen = &mut self.engines[engine];
        seen.since_report += 1;
        seen.own += 1;
        if let Some(team) = self.team_of.get(&id) {
            self.team_running[*team] += 1;
        }
        Action::Send {
            id,
            engine,
            import_blocks: 0,
        }
    }

    fn least_loaded(&self) -> usize {
        let turn = self.turn;
        let count = self.engines.len();
        (0..count)
            .map(|i| (i + turn) % count)
            .min_by_key(|e| (!self.engines[*e].up, self.engines[*e].load()))
            .unwrap_or_default()
    }

    fn hashed(&self, request: &Request) -> usize {
        let key = request.chain[request.shared_blocks - 1];
        let count = self.engines.len();
        (0..count)
            .map(|i| (key as usize).wrapping_add(i) % count)
            .find(|e| self.engines[*e].up)
            .unwrap_or_default()
    }

    fn direct(&mut self, request: &Request) -> Action {
        self.turn += 1;
        let engine = match self.kind {
            PolicyKind::RoundRobin => self.turn % self.engines.len(),
            PolicyKind::PrefixHash => self.hashed(request),
            _ => self.least_loaded(),
        };
        self.send(request.id, engine)
    }

    fn queues(&self) -> bool {
        matches!(self.kind, PolicyKind::Fifo | PolicyKind::StaticShares)
    }

    fn has_share(&self, team: usize) -> bool {
        if self.kind == PolicyKind::Fifo {
            return true;
        }
        let slots = self.engines.len() as f64 * f64::from(SLOTS) / f64::from(self.instances);
        f64::from(self.team_running[team]) < (slots * TEAM_SHARES[team]).max(1.0)
    }

    /// Sends what has room: in the order of arrival, or within team shares.
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
            self.turn += 1;
            actions.push(self.send(id, engine));
        }
    }
}

impl Policy for Plain {
    fn arrive(&mut self, request: &Request, _kept_blocks: usize, _now_ms: u64) -> Vec<Action> {
        self.team_of.insert(request.id, request.team);
        if !self.queues() {
            return vec![self.direct(request)];
        }
        self.queues[request.team].push_back((request.id, request.team));
        self.drain()
    }

    fn again(&mut self, request: &Request, dead: usize, _now_ms: u64) -> Vec<Action> {
        self.engines[dead].up = false;
        vec![self.direct(request)]
    }

    fn report(&mut self, engine: usize, state: Option<&EngineState>, _now_ms: u64) -> Vec<Action> {
        let seen = &mut self.engines[engine];
        seen.up = state.is_some();
        seen.reported = state.map_or(0, |s| s.load.running + s.load.waiting);
        seen.since_report = 0;
        if self.queues() {
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
        let seen = &mut self.engines[engine];
        seen.since_report -= 1;
        seen.own = seen.own.saturating_sub(1);
        if let Some(team) = self.team_of.get(&id) {
            self.team_running[*team] = self.team_running[*team].saturating_sub(1);
        }
        if self.queues() {
            self.drain()
        } else {
            Vec::new()
        }
    }

    fn leave(&mut self, id: u64) -> bool {
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
