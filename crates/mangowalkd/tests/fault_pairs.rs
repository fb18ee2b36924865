//! Every pair of faults in both orders, and each fault twice, while streams and
//! orders are in progress.
//!
//! With every pair, an admitted stream must reach its caller complete and in
//! order, a refusal as "not run" must be true, and an order must run at most once
//! even if its caller retries through another router.

use {
    mangowalk_standins::{
        Answer, EngineFaults, Fleet, FleetSettings, PlatformFaults, ServiceFaults,
    },
    serde_json::json,
    std::{collections::BTreeMap, thread, time::Duration},
};

const STREAMS: usize = 4;
const TOKENS: u32 = 30;

/// Time from the start of the streams to the first fault, and from the first to
/// the second fault.
const FAULT_DELAY: Duration = Duration::from_millis(60);

/// Time for which a router is frozen.
const FREEZE_TIME: Duration = Duration::from_millis(400);

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

/// A fleet into which pairs of faults are injected.
struct FaultFleet {
    fleet: Fleet,
    round: usize,
}

impl FaultFleet {
    fn new() -> FaultFleet {
        let settings = FleetSettings {
            program: env!("CARGO_BIN_EXE_mangowalkd").to_owned(),
            routers: 2,
            engines: 3,
            router_args: vec!["--token-timeout-ms=600".to_owned()],
            ..FleetSettings::default()
        };
        let faults = FaultFleet {
            fleet: Fleet::start(&settings),
            round: 0,
        };
        faults.wait_serving();
        faults
    }

    /// Waits until both routers serve with all engines. Slots and engine states
    /// arrive shortly after a router is ready, and an engine that restarted is
    /// tried again later still. Two faults may disable two engines, so that a
    /// stream that starts while one of three is missing would have no engine to
    /// resume at.
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

    fn inject(&mut self, fault: Fault) {
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
                thread::sleep(FREEZE_TIME);
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

    /// Runs streams and an order while both faults are injected, and checks the
    /// answers to the callers.
    fn run_pair(&mut self, first: Fault, second: Fault) {
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
        thread::sleep(FAULT_DELAY);
        self.inject(first);
        let order = {
            let name = name.clone();
            thread::spawn(move || order(address, &name))
        };
        thread::sleep(FAULT_DELAY);
        self.inject(second);
        for (prompt, stream) in prompts.iter().zip(streams) {
            self.check_stream(prompt, &stream.join().expect("a caller"));
        }
        let mut orders = vec![order.join().expect("a caller")];
        self.heal();
        orders.push(self::order(self.fleet.routers[1].address(), &name));
        self.check_orders(&name, &orders);
    }

    /// Checks that a stream is complete. It was admitted before the first fault,
    /// and any two faults leave one engine of three.
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

/// Injects this fault followed by each of [`FAULTS`], itself included, one pair
/// after the other in one fleet.
fn run_with_every_fault(first: Fault) {
    let mut faults = FaultFleet::new();
    for second in FAULTS {
        faults.run_pair(first, second);
    }
}

#[test]
fn platform_down_with_every_other_fault() {
    run_with_every_fault(Fault::PlatformDown);
}

#[test]
fn platform_slow_with_every_other_fault() {
    run_with_every_fault(Fault::PlatformSlow);
}

#[test]
fn replies_lost_with_every_other_fault() {
    run_with_every_fault(Fault::RepliesLost);
}

#[test]
fn engine_crash_with_every_other_fault() {
    run_with_every_fault(Fault::EngineCrash);
}

#[test]
fn engine_silent_with_every_other_fault() {
    run_with_every_fault(Fault::EngineSilent);
}

#[test]
fn events_lost_with_every_other_fault() {
    run_with_every_fault(Fault::EventsLost);
}

#[test]
fn answers_crossed_with_every_other_fault() {
    run_with_every_fault(Fault::AnswersCrossed);
}

#[test]
fn service_reply_lost_with_every_other_fault() {
    run_with_every_fault(Fault::ServiceReplyLost);
}

#[test]
fn router_frozen_with_every_other_fault() {
    run_with_every_fault(Fault::RouterFrozen);
}

#[test]
fn other_router_killed_with_every_other_fault() {
    run_with_every_fault(Fault::OtherRouterKilled);
}
