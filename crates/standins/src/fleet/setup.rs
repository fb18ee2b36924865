use {
    super::{Answer, RouterProcess, free_address},
    crate::{EngineSettings, EngineStandIn, PlatformStandIn, ServiceStandIn},
    mangowalk_core::record::digest_of,
    serde_json::json,
    std::{thread, time::Duration},
};

/// Part of the burst that a fleet holds before tests begin, as a divisor.
const BURST_DIVISOR: u64 = 50;

/// Looks at whether a new fleet serves.
const MAX_SERVED_CHECKS: u32 = 200;
const SERVED_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// What a test's fleet is made of.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// Path of the router's program.
    pub program: String,
    /// Number of routers.
    pub routers: usize,
    /// Number of engines.
    pub engines: usize,
    /// How each engine behaves.
    pub engine: EngineSettings,
    /// Arguments of each router, behind the usual ones.
    pub router_args: Vec<String>,
    /// Rate of the team `gallery`.
    pub tokens_per_s: u64,
    /// Burst of the team `gallery`.
    pub burst_tokens: u64,
}

impl Default for FleetSettings {
    fn default() -> FleetSettings {
        FleetSettings {
            program: String::new(),
            routers: 1,
            engines: 2,
            engine: EngineSettings::default(),
            router_args: Vec::new(),
            tokens_per_s: 1_000_000,
            burst_tokens: 1_000_000,
        }
    }
}

/// Stand-ins and routers of one test. Dropping it ends every process.
pub struct Fleet {
    /// The platform.
    pub platform: PlatformStandIn,
    /// Engines, named `engine-0` and on.
    pub engines: Vec<EngineStandIn>,
    /// The service `orders`, whose calls are not repeatable.
    pub service: ServiceStandIn,
    /// Routers.
    pub routers: Vec<RouterProcess>,
}

impl Fleet {
    /// Key of the team `gallery`.
    pub const KEY: &str = "mw-test-key-gallery";

    /// Starts everything and waits until each router is ready.
    pub fn start(settings: &FleetSettings) -> Fleet {
        let platform = PlatformStandIn::start(free_address());
        let engines: Vec<EngineStandIn> = (0..settings.engines)
            .map(|_| EngineStandIn::start(free_address(), settings.engine.clone()))
            .collect();
        let service = ServiceStandIn::start(free_address());
        let mut fleet = Fleet {
            platform,
            engines,
            service,
            routers: Vec::new(),
        };
        fleet.write_records(settings);
        let args: Vec<&str> = settings.router_args.iter().map(String::as_str).collect();
        fleet.routers = (0..settings.routers)
            .map(|_| RouterProcess::start(&settings.program, fleet.platform.address(), &args))
            .collect();
        for router in &fleet.routers {
            router.wait_ready();
        }
        fleet
    }

    fn write_records(&self, settings: &FleetSettings) {
        let rate = json!({
            "schema": 1,
            "tokens_per_s": settings.tokens_per_s,
            "burst_tokens": settings.burst_tokens,
        });
        let key = json!({ "schema": 1, "team": "gallery", "digest": digest_of(Fleet::KEY) });
        let model = json!({ "schema": 1, "version": settings.engine.version });
        self.platform.put("team", "gallery", json!({ "schema": 1 }));
        self.platform.put("rate", "gallery", rate);
        self.platform.put("key", "gallery-1", key);
        self.platform.put("model", &settings.engine.model, model);
        for (i, engine) in self.engines.iter().enumerate() {
            let upstream = json!({
                "schema": 1,
                "address": engine.address(),
                "failure_domain": "a",
                "role": { "engine": {
                    "model": settings.engine.model,
                    "checks_fencing": settings.engine.checks_fencing,
                } },
            });
            self.platform
                .put("upstream", &format!("engine-{i}"), upstream);
        }
        let service = json!({
            "schema": 1,
            "address": self.service.address(),
            "failure_domain": "a",
            "role": { "service": { "service": "orders", "repeatable": false } },
        });
        self.platform.put("upstream", "orders-0", service);
    }

    /// Sends a chat request of the team `gallery` to a router.
    pub fn chat(&self, router: usize, prompt: &str, max_tokens: u32, stream: bool) -> Answer {
        let body = json!({
            "model": self.engines.first().map_or_else(String::new, |e| e.state().model),
            "messages": [{ "role": "user", "content": prompt }],
            "max_tokens": max_tokens,
            "stream": stream,
        });
        let bearer = format!("Bearer {}", Fleet::KEY);
        Answer::post(
            self.routers[router].address(),
            "/v1/chat/completions",
            &[("Authorization", &bearer)],
            &body.to_string(),
        )
    }

    /// Sends requests until one is served and the router holds tokens for
    /// many more. A new instance takes its slots step by step, so it mints at
    /// a part of the rate at first, and a test that sends at once would meet
    /// the rate in place of what it tests.
    pub fn wait_until_served(&self) {
        for _ in 0..MAX_SERVED_CHECKS {
            let answer = self.chat(0, "warm", 1, false);
            let tokens = |name| answer.header(name)?.parse::<u64>().ok();
            let remaining = tokens("x-ratelimit-remaining-tokens").unwrap_or_default();
            let burst = tokens("x-ratelimit-limit-tokens").unwrap_or_default();
            if answer.status == 200 && remaining * BURST_DIVISOR >= burst {
                return;
            }
            thread::sleep(SERVED_CHECK_INTERVAL);
        }
        panic!("the fleet serves nobody");
    }

    /// Returns the answer that `chat` must bring.
    pub fn expected(prompt: &str, max_tokens: u64) -> String {
        let prompt = format!("<|user|>\n{prompt}\n<|assistant|>\n");
        EngineStandIn::answer_to(&prompt, max_tokens)
    }
}
