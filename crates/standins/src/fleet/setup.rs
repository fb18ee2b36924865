use {
    super::{Answer, RouterProcess, free_address},
    crate::{EngineSettings, EngineStandIn, PlatformStandIn, ServiceStandIn},
    mangowalk_core::record::digest_of,
    serde_json::json,
    std::{thread, time::Duration},
};

/// A fleet is ready for a test once a team's remaining tokens are at least its
/// burst divided by this.
const BURST_DIVISOR: u64 = 50;

/// Requests that a new fleet is sent before a test fails, 50 ms apart.
const MAX_SERVED_CHECKS: u32 = 200;
const SERVED_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Size and settings of a test's fleet.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// Path of the router's program.
    pub program: String,
    /// Number of routers.
    pub routers: usize,
    /// Number of engines.
    pub engines: usize,
    /// Settings of each engine.
    pub engine: EngineSettings,
    /// Arguments of each router, after the default ones.
    pub router_args: Vec<String>,
    /// Rate of the team `gallery`, in tokens per second.
    pub tokens_per_s: u64,
    /// Burst of the team `gallery`, in tokens.
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

/// Stand-ins and routers of one test. Dropping it kills every router process.
pub struct Fleet {
    /// Platform that holds the records of the fleet.
    pub platform: PlatformStandIn,
    /// Engines, named `engine-0`, `engine-1` and so on.
    pub engines: Vec<EngineStandIn>,
    /// Service `orders`, whose calls are not repeatable.
    pub service: ServiceStandIn,
    /// Routers, all in failure domain `a` unless `router_args` says otherwise.
    pub routers: Vec<RouterProcess>,
}

impl Fleet {
    /// API key of the team `gallery`.
    pub const KEY: &str = "mw-test-key-gallery";

    /// Starts the stand-ins and routers, and waits until each router is ready.
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

    /// Writes the records of the team, the model and the upstreams.
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

    /// Sends a chat request of the team `gallery` to the router with this index.
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

    /// Sends requests to the first router until one is served and the team has
    /// tokens for many more.
    ///
    /// A new instance takes over its slots step by step, so it refills the
    /// team's bucket at a part of the rate at first. A test that sends requests
    /// immediately would be limited by the rate instead of testing its subject.
    ///
    /// # Panics
    ///
    /// Panics if this does not happen in time.
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
        panic!("the first router served no request, or the team's bucket did not fill, in time");
    }

    /// Returns the text of the answer that [`Fleet::chat`] must return.
    pub fn expected(prompt: &str, max_tokens: u64) -> String {
        let prompt = format!("<|user|>\n{prompt}\n<|assistant|>\n");
        EngineStandIn::answer_to(&prompt, max_tokens)
    }
}
