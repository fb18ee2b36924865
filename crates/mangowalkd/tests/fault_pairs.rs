//! Every fault alone, twice and together with every other, while streams and
//! orders are under way.
//!
//! What callers see must hold whatever comes: an admitted stream reaches its
//! caller whole and in order, a refusal that says "not run" is true, and an
//! order runs at most once even when its caller sends it again through
//! another router.

use {
    mangowalk_standins::{
        Answer, EngineFaults, Fleet, FleetSettings, PlatformFaults, ServiceFaults,
    },
    serde_json::json,
    std::{collections::BTreeMap, thread, time::Duration},
};

const STREAMS: usize = 4;
const TOKENS: u32 = 30;

/// Time from the start of the streams to the first fault, and from there to
/// the second.
const STEP: Duration = Duration::from_millis(60);

/// Time for which a router stays frozen.
const FROZEN: Duration = Duration::from_millis(400);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    PlatformDown,
    PlatformSlow,
    RepliesLost,
    EngineCrash,
    EngineSilent,
    EventsLost,
    AnswersCrossed,
    ServiceReplyLost,
    RouterFrozen,
    OtherRouterKilled,
}

const FAULTS: [Fault; 10] = [
    Fault::PlatformDown,
    Fault::PlatformSlow,
    Fault::RepliesLost,
    Fault::EngineCrash,
    Fault::EngineSilent,
    Fault::EventsLost,
    Fault::AnswersCrossed,
    Fault::ServiceReplyLost,
    Fault::RouterFrozen,
    Fault::OtherRouterKilled,
];

/// One fleet that meets a first fault together with every second one.
struct Bench {
    fleet: Fleet,
    round: usize,
}

impl Bench {
    fn new() -> Bench {
        let settings = FleetSettings {
            program: env!("CARGO_BIN_EXE_mangowalkd").to_owned(),
            routers: 2,
            engines: 3,
            router_args: vec!["--token-timeout-ms=600".to_owned()],
            ..FleetSettings::default()
        };
        let bench = Bench {
            fleet: Fleet::start(&settings),
            round: 0,
        };
        bench.wait_serving();
        bench
    }

    /// Waits until both routers serve with all engines: slots and sights of
    /// engines come a moment after a router is ready, and an engine that came
    /// back is tried later still. Two faults take two engines, so a stream that
    /// began with one of three missing would have none left to go on at.
    fn wait_serving(&self) {
        for router in 0..self.fleet.routers.len() {
            let name = format!("warm up {router} {}", self.round);
            let served = (0..400).any(|i| {
                thread::sleep(Duration::from_millis(if i == 0 { 0 } else { 25 }));
                self.fleet.chat(router, &format!("{name} {i}"), 2, false);
                let ran =
                    |prompts: BTreeMap<String, u64>| prompts.keys().any(|p| p.contains(&name));
                self.fleet
                    .engines
                    .iter()
                    .all(|engine| ran(engine.prompts()))
            });
            assert!(served, "router {router} serves again with all engines");
        }
    }

    fn bring(&mut self, fault: Fault) {
        match fault {
            Fault::PlatformDown => self.fleet.platform.set_faults(PlatformFaults {
                down: true,
                ..PlatformFaults::default()
            }),
            Fault::PlatformSlow => self.fleet.platform.set_faults(PlatformFaults {
                delay_ms: 300,
                ..PlatformFaults::default()
            }),
            Fault::RepliesLost => self.fleet.platform.set_faults(PlatformFaults {
                lose_replies: 3,
                ..PlatformFaults::default()
            }),
            Fault::EngineCrash => self.fleet.engines[self.round % 3].crash(),
            Fault::EngineSilent => self.engine_faults(EngineFaults {
                freeze_after_tokens: Some(5),
                ..EngineFaults::default()
            }),
            Fault::EventsLost => self.engine_faults(EngineFaults {
                lose_events: 3,
                ..EngineFaults::default()
            }),
            Fault::AnswersCrossed => self.engine_faults(EngineFaults {
                cross_answers: true,
                ..EngineFaults::default()
            }),
            Fault::ServiceReplyLost => self.fleet.service.set_faults(ServiceFaults {
                lose_replies: 1,
                ..ServiceFaults::default()
            }),
            Fault::RouterFrozen => {
                self.fleet.routers[0].pause();
                thread::sleep(FROZEN);
                self.fleet.routers[0].resume();
            }
            Fault::OtherRouterKilled => self.fleet.routers[1].kill(),
        }
        self.round += 1;
    }

    fn engine_faults(&self, faults: EngineFaults) {
        self.fleet.engines[(self.round + 1) % 3].set_faults(faults);
    }

    fn heal(&mut self) {
        self.fleet.platform.set_faults(PlatformFaults::default());
        self.fleet.service.set_faults(ServiceFaults::default());
        for engine in &self.fleet.engines {
            engine.set_faults(EngineFaults::default());
            if engine.state().incarnation == 0 {
                engine.restart();
            }
        }
        if self.fleet.routers[1].pid().is_none() {
            self.fleet.routers[1].restart();
            self.fleet.routers[1].wait_ready();
        }
        self.wait_serving();
    }

    /// Runs streams and an order while both faults come, and checks what the
    /// callers received.
    fn meet(&mut self, first: Fault, second: Fault) {
        let name = format!("{first:?} and {second:?}");
        let address = self.fleet.routers[0].address();
        let prompts: Vec<String> = (0..STREAMS).map(|i| format!("{name} {i}")).collect();
        let streams: Vec<_> = prompts
            .iter()
            .map(|prompt| {
                let prompt = prompt.clone();
                thread::spawn(move || stream(address, &prompt))
            })
            .collect();
        thread::sleep(STEP);
        self.bring(first);
        let order = {
            let name = name.clone();
            thread::spawn(move || order(address, &name))
        };
        thread::sleep(STEP);
        self.bring(second);
        for (prompt, stream) in prompts.iter().zip(streams) {
            self.check_stream(prompt, &stream.join().expect("a caller"));
        }
        let mut orders = vec![order.join().expect("a caller")];
        self.heal();
        orders.push(self::order(self.fleet.routers[1].address(), &name));
        self.check_orders(&name, &orders);
    }

    /// The streams were admitted before the first fault, and one engine of
    /// three is left by any two faults: each must reach its caller whole.
    fn check_stream(&self, prompt: &str, answer: &Answer) {
        let expected = Fleet::expected(prompt, u64::from(TOKENS));
        assert_eq!(answer.status, 200, "{prompt}: {}", answer.body);
        assert_eq!(
            answer.streamed_text(),
            expected,
            "{prompt}: {}",
            answer.body
        );
        assert!(
            answer.is_done() && answer.ended,
            "{prompt}: no closing marker"
        );
    }

    fn check_orders(&self, name: &str, answers: &[Answer]) {
        let runs = self.fleet.service.runs().get(name).copied().unwrap_or(0);
        assert!(runs <= 1, "{name}: the order ran {runs} times");
        let served = answers.iter().any(|a| a.status == 200);
        assert!(!served || runs == 1, "{name}: answered but never run");
        let last = &answers[answers.len() - 1];
        if last.json()["error"]["outcome"] == "not_run" {
            assert_eq!(runs, 0, "{name}: {}", last.body);
        }
    }
}

fn stream(address: std::net::SocketAddr, prompt: &str) -> Answer {
    let body = json!({
        "model": "drafting",
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": TOKENS,
        "stream": true,
    });
    let bearer = format!("Bearer {}", Fleet::KEY);
    Answer::post(
        address,
        "/v1/chat/completions",
        &[("Authorization", &bearer)],
        &body.to_string(),
    )
}

fn order(address: std::net::SocketAddr, name: &str) -> Answer {
    let bearer = format!("Bearer {}", Fleet::KEY);
    Answer::post(
        address,
        "/v1/services/orders/book",
        &[("Authorization", &bearer), ("Idempotency-Key", name)],
        name,
    )
}

/// Runs one first fault alone, twice, and with every other behind it.
fn meets_every_other(first: Fault) {
    let mut bench = Bench::new();
    for second in FAULTS {
        bench.meet(first, second);
    }
}

#[test]
fn platform_down_with_every_other() {
    meets_every_other(Fault::PlatformDown);
}

#[test]
fn platform_slow_with_every_other() {
    meets_every_other(Fault::PlatformSlow);
}

#[test]
fn replies_lost_with_every_other() {
    meets_every_other(Fault::RepliesLost);
}

#[test]
fn engine_crash_with_every_other() {
    meets_every_other(Fault::EngineCrash);
}

#[test]
fn engine_silent_with_every_other() {
    meets_every_other(Fault::EngineSilent);
}

#[test]
fn events_lost_with_every_other() {
    meets_every_other(Fault::EventsLost);
}

#[test]
fn answers_crossed_with_every_other() {
    meets_every_other(Fault::AnswersCrossed);
}

#[test]
fn service_reply_lost_with_every_other() {
    meets_every_other(Fault::ServiceReplyLost);
}

#[test]
fn router_frozen_with_every_other() {
    meets_every_other(Fault::RouterFrozen);
}

#[test]
fn other_router_killed_with_every_other() {
    meets_every_other(Fault::OtherRouterKilled);
}
