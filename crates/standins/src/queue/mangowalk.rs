use {
    super::{
        Deployment, PolicyKind,
        deployment::{HIT_US, IMPORT_US, MISS_US, TEAM_SHARES},
        engine::{MODEL, VERSION},
        policy::{Action, Policy},
        request::Request,
    },
    mangowalk_core::{
        admission::{AdmissionSettings, Decision, Dispatcher, Job},
        engine::{CacheEvents, EngineState},
        placement::{Choice, EngineSpec, Placement, PlacementRequest, PlacementSettings},
    },
    std::collections::{HashMap, HashSet},
};

/// One instance that decides with the router's own dispatcher and placement.
pub(super) struct Mangowalk {
    dispatcher: Dispatcher,
    /// Placement of each request that was sent.
    choices: HashMap<u64, Choice>,
    /// Requests in the queue.
    waiting: HashSet<u64>,
}

fn engine_name(engine: usize) -> String {
    format!("engine-{engine}")
}

fn engine_index(name: &str) -> usize {
    let digits = name.trim_start_matches("engine-");
    digits.parse().expect("an engine of the model")
}

impl Mangowalk {
    pub(super) fn new(
        deployment: &Deployment,
        kind: PolicyKind,
        instance: usize,
        seed: u64,
    ) -> Mangowalk {
        let domains = deployment.failure_domains;
        let defaults = PlacementSettings::default();
        let settings = PlacementSettings {
            miss_us: MISS_US as f64,
            hit_us: HIT_US as f64,
            import_us: (kind == PolicyKind::Import).then_some(IMPORT_US as f64),
            other_domain_ms: deployment.cross_domain_rtt_us as f64 / 1e3,
            instances: deployment.instances as u32,
            max_indexed_engines: match kind {
                PolicyKind::NoEvents => 0,
                _ => defaults.max_indexed_engines,
            },
            ..defaults
        };
        let mut placement = Placement::new(settings, seed);
        let specs: Vec<EngineSpec> = (0..deployment.engines)
            .map(|engine| EngineSpec {
                name: engine_name(engine),
                model: MODEL.to_owned(),
                in_same_domain: engine % domains == instance % domains,
                departing: false,
            })
            .collect();
        placement.set_engines(&specs);
        let admission = AdmissionSettings::for_profile(deployment.favour);
        Mangowalk {
            dispatcher: Dispatcher::new(placement, admission, seed),
            choices: HashMap::new(),
            waiting: HashSet::new(),
        }
    }

    /// Turns decisions of the dispatcher into actions of the model.
    fn act(&mut self, decisions: Vec<Decision>) -> Vec<Action> {
        decisions.into_iter().map(|d| self.action(d)).collect()
    }

    fn action(&mut self, decision: Decision) -> Action {
        match decision {
            Decision::Send { id, choice } => {
                self.waiting.remove(&id);
                self.send(id, choice)
            }
            Decision::Refuse { id, .. } => {
                self.waiting.remove(&id);
                Action::Refuse { id }
            }
        }
    }

    fn send(&mut self, id: u64, choice: Choice) -> Action {
        let engine = engine_index(&choice.engine);
        let import_blocks = choice.import_blocks;
        self.choices.insert(id, choice);
        Action::Send {
            id,
            engine,
            import_blocks,
        }
    }
}

impl Policy for Mangowalk {
    fn arrive(&mut self, request: &Request, cache_store_blocks: usize, now_ms: u64) -> Vec<Action> {
        let job = Job {
            id: request.id,
            team: format!("team-{}", request.team),
            weight: TEAM_SHARES[request.team],
            priority: 5,
            tokens: request.tokens(),
            arrived_ms: now_ms,
            deadline_ms: None,
            avoid: HashSet::new(),
            model: MODEL.to_owned(),
            version: VERSION.to_owned(),
            chain: request.chain.to_vec(),
            cache_store_blocks,
        };
        self.waiting.insert(request.id);
        let decisions = self.dispatcher.submit(job, &|_| true, now_ms);
        self.act(decisions)
    }

    fn reroute(&mut self, request: &Request, failed_engine: usize, now_ms: u64) -> Vec<Action> {
        let avoid = HashSet::from([engine_name(failed_engine)]);
        let placement_request = PlacementRequest {
            model: MODEL,
            version: VERSION,
            chain: &request.chain,
            cache_store_blocks: 0,
            avoid: &avoid,
            is_usable: &|_| true,
            waited_ms: 0,
            queued: 0,
            force: true,
        };
        let placement = self.dispatcher.placement_mut();
        let Some(mut choice) = placement.choose(&placement_request, now_ms) else {
            return vec![Action::Refuse { id: request.id }];
        };
        placement.sent(&mut choice, &request.chain, now_ms);
        vec![self.send(request.id, choice)]
    }

    fn report(&mut self, engine: usize, state: Option<&EngineState>, now_ms: u64) -> Vec<Action> {
        let placement = self.dispatcher.placement_mut();
        placement.report(&engine_name(engine), state);
        self.tick(now_ms)
    }

    fn first_token(&mut self, id: u64, now_ms: u64) {
        if let Some(choice) = self.choices.get_mut(&id) {
            self.dispatcher.placement_mut().first_token(choice, now_ms);
        }
    }

    fn ended(
        &mut self,
        id: u64,
        _engine: usize,
        cached_blocks: Option<usize>,
        now_ms: u64,
    ) -> Vec<Action> {
        if let Some(choice) = self.choices.remove(&id) {
            let placement = self.dispatcher.placement_mut();
            placement.ended(&choice, cached_blocks, now_ms);
        }
        self.tick(now_ms)
    }

    fn cancel(&mut self, id: u64) -> bool {
        self.dispatcher.remove(id);
        self.waiting.remove(&id)
    }

    fn tick(&mut self, now_ms: u64) -> Vec<Action> {
        let decisions = self.dispatcher.dispatch_queued(&|_| true, now_ms);
        self.act(decisions)
    }

    fn events_from(&self, engine: usize) -> Option<u64> {
        self.dispatcher
            .placement()
            .next_event_sequence(&engine_name(engine))
    }

    fn cache_events(&mut self, engine: usize, events: &CacheEvents) {
        let placement = self.dispatcher.placement_mut();
        placement.cache_events(&engine_name(engine), events);
    }
}
