//! Engines that say in their answers that they leave, while the list has them as ready.

use {
    super::PROGRAM,
    mangowalk_platform_standins::{
        Caller, DRAIN_TIME, Deployment, Engine, EngineFaults, PathState, Reply, RouteKind,
        first_told_leaving, wait_until,
    },
    std::{
        collections::HashMap,
        thread,
        time::{Duration, Instant},
    },
};

/// Requests of the callers of one machine, with the time at which each was sent.
#[derive(Default)]
struct Sent {
    sent_at: HashMap<String, Instant>,
    served: usize,
}

impl Sent {
    fn add(&mut self, other: Sent) {
        self.sent_at.extend(other.sent_at);
        self.served += other.served;
    }

    /// Returns how many requests reached an engine that were sent more than `DRAIN_TIME`
    /// after the machine first had an answer in which it said that it leaves.
    fn late_arrivals(&self, engine: &Engine) -> usize {
        let told = first_told_leaving(engine, |id| self.sent_at.contains_key(id));
        let Some(told) = told else {
            return 0;
        };
        let arrivals = engine.arrivals();
        let sent_at = arrivals
            .iter()
            .filter_map(|one| self.sent_at.get(&one.request_id));
        sent_at.filter(|at| **at > told + DRAIN_TIME).count()
    }
}

fn send(caller: &Caller, kind: RouteKind, id: &str) -> Reply {
    match kind {
        RouteKind::Resumable | RouteKind::Stream => caller.stream(kind.path(), id),
        RouteKind::Idempotent => caller.plain("GET", kind.path(), id),
        RouteKind::Once => caller.plain("POST", kind.path(), id),
    }
}

/// Sends requests of a kind to one machine for a time, one each 20 ms.
fn send_to(deployment: &Deployment, machine: usize, kind: RouteKind, within: Duration) -> Sent {
    let until = Instant::now() + within;
    let caller = deployment.caller(machine);
    let mut sent = Sent::default();
    while Instant::now() < until {
        let id = Caller::new_request_id();
        sent.sent_at.insert(id.clone(), Instant::now());
        sent.served += usize::from(send(&caller, kind, &id).status == 200);
        thread::sleep(Duration::from_millis(20));
    }
    sent
}

/// Sends requests of a kind to all machines for a time, and returns them by machine.
fn send_to_all(deployment: &Deployment, kind: RouteKind, within: Duration) -> Vec<Sent> {
    thread::scope(|scope| {
        let callers: Vec<_> = (0..deployment.machines.len())
            .map(|machine| scope.spawn(move || send_to(deployment, machine, kind, within)))
            .collect();
        let sent = callers.into_iter().map(|caller| caller.join());
        sent.map(|sent| sent.expect("a caller doesn't panic"))
            .collect()
    })
}

fn assert_none_late(engine: &Engine, sent: &[Sent]) {
    for (machine, sent) in sent.iter().enumerate() {
        let late = sent.late_arrivals(engine);
        let id = engine.id();
        assert_eq!(late, 0, "{id} got late requests of machine {machine}");
    }
}

/// Guards against requests to an engine of a plain service that has said that it leaves.
#[test]
fn a_plain_engine_that_says_it_leaves_gets_no_later_requests() {
    let deployment = Deployment::start(PROGRAM, 3, 1);
    let leaving = &deployment.services[0];
    leaving.set_faults(EngineFaults::leaves());
    let sent = send_to_all(&deployment, RouteKind::Once, Duration::from_secs(8));
    assert!(!leaving.answers_leaving().is_empty(), "the engine is used");
    assert_none_late(leaving, &sent);
    let served: usize = sent.iter().map(|sent| sent.served).sum();
    let all: usize = sent.iter().map(|sent| sent.sent_at.len()).sum();
    assert_eq!(served, all);
}

/// Guards against requests to a model engine that has said that it leaves.
#[test]
fn a_model_engine_that_says_it_leaves_gets_no_later_requests() {
    let deployment = Deployment::start(PROGRAM, 3, 3);
    let leaving = &deployment.engines[0];
    leaving.set_faults(EngineFaults::leaves());
    let sent = send_to_all(&deployment, RouteKind::Resumable, Duration::from_secs(8));
    assert!(!leaving.answers_leaving().is_empty(), "the engine is used");
    assert_none_late(leaving, &sent);
}

/// Guards against a departure that is forgotten with an entry that expires while the store is
/// away, and comes back.
#[test]
fn an_engine_that_leaves_gets_nothing_after_its_entry_comes_back() {
    let deployment = Deployment::start(PROGRAM, 2, 1);
    let leaving = &deployment.services[0];
    leaving.set_faults(EngineFaults::leaves());
    let mut sent = send_to_all(&deployment, RouteKind::Once, Duration::from_millis(500));
    deployment.store.remove("servers", leaving.id());
    thread::sleep(Duration::from_millis(4_000));
    deployment
        .store
        .write("servers", leaving.id(), leaving.entry("ready"));
    let later = send_to_all(&deployment, RouteKind::Once, Duration::from_secs(4));
    for (sent, later) in sent.iter_mut().zip(later) {
        sent.add(later);
    }
    assert_none_late(leaving, &sent);
}

/// Guards against an engine that isn't used although it has started again since it said that
/// it leaves.
#[test]
fn an_engine_that_starts_again_under_its_id_is_used() {
    let deployment = Deployment::start(PROGRAM, 2, 1);
    let leaving = &deployment.services[0];
    leaving.set_faults(EngineFaults::leaves());
    send_to_all(&deployment, RouteKind::Once, Duration::from_millis(500));
    let started_again = Engine::start(leaving.id(), "desk", None, "a");
    leaving.stop();
    deployment
        .store
        .write("servers", leaving.id(), started_again.entry("ready"));
    send_to_all(&deployment, RouteKind::Once, Duration::from_millis(1_500));
    assert!(!started_again.runs().is_empty());
}

/// Guards against an instance that hears through a peer that an engine leaves, and sends to it
/// once it reaches the engines again.
#[test]
fn an_instance_that_hears_through_a_peer_that_an_engine_leaves_sends_it_nothing() {
    let (deployment, paths, _gates) = Deployment::start_with_paths(PROGRAM, 2, 1);
    // The peer prefers the engine in its own failure domain.
    let leaving = &deployment.services[1];
    paths[0].set(PathState::Reset);
    wait_until("the peer serves the machine's callers", || {
        let id = Caller::new_request_id();
        send(&deployment.caller(0), RouteKind::Idempotent, &id).status == 200
    });
    leaving.set_faults(EngineFaults::leaves());
    let mut sent = send_to(
        &deployment,
        0,
        RouteKind::Idempotent,
        Duration::from_secs(1),
    );
    assert!(!leaving.answers_leaving().is_empty(), "the engine is used");
    thread::sleep(DRAIN_TIME);
    // No other engine is left for it.
    deployment
        .store
        .remove("servers", deployment.services[0].id());
    paths[0].set(PathState::Open);
    let later = send_to(
        &deployment,
        0,
        RouteKind::Idempotent,
        Duration::from_secs(4),
    );
    sent.add(later);
    assert_none_late(leaving, &[sent]);
}

/// Guards against instances that each lose requests to an engine which another one knows to
/// leave.
#[test]
fn peers_hear_of_an_engine_that_leaves() {
    let deployment = Deployment::start(PROGRAM, 3, 1);
    let leaving = &deployment.services[0];
    leaving.set_faults(EngineFaults::leaves());
    while leaving.answers_leaving().is_empty() {
        let id = Caller::new_request_id();
        send(&deployment.caller(0), RouteKind::Idempotent, &id);
    }
    thread::sleep(Duration::from_millis(500));
    let before = leaving.arrivals().len();
    send_to_all(&deployment, RouteKind::Idempotent, Duration::from_secs(2));
    assert_eq!(leaving.arrivals().len(), before);
}

/// Guards against a stream that is broken off although the only other engine with its software
/// version, which leaves, still serves; and against one that goes on there when that is over.
#[test]
fn a_stream_goes_on_at_an_engine_that_leaves_only_while_that_serves() {
    let deployment = Deployment::start_versions(PROGRAM, 1, &["v1", "v1", "v2"]);
    let [cut, leaving, other] = &deployment.engines[..] else {
        panic!("three engines");
    };
    let refuses = EngineFaults {
        refuses_as_not_run: true,
        ..EngineFaults::default()
    };
    cut.set_faults(refuses.clone());
    other.set_faults(refuses);
    leaving.set_faults(EngineFaults::leaves());
    let send_stream = || {
        let id = Caller::new_request_id();
        send(&deployment.caller(0), RouteKind::Resumable, &id)
    };
    wait_until("the engine has said that it leaves", || {
        send_stream();
        !leaving.answers_leaving().is_empty()
    });
    cut.set_faults(EngineFaults {
        cut_after_events: Some(4),
        ..EngineFaults::default()
    });
    let early = send_stream();
    assert!(early.is_complete_stream(), "{early:?}");
    thread::sleep(DRAIN_TIME);
    let before = leaving.arrivals().len();
    let late = send_stream();
    assert!(!late.is_complete_stream());
    assert_eq!(leaving.arrivals().len(), before);
}

/// Guards against weights that an engine loads which is about to be gone, and against others
/// that wait for it.
#[test]
fn an_engine_that_leaves_gets_no_order() {
    let deployment = Deployment::start(PROGRAM, 2, 3);
    let leaving = &deployment.engines[0];
    leaving.set_faults(EngineFaults::leaves());
    wait_until("the engine has said that it leaves", || {
        send_to_all(
            &deployment,
            RouteKind::Resumable,
            Duration::from_millis(200),
        );
        !leaving.answers_leaving().is_empty()
    });
    deployment.publish_weights(2);
    wait_until("the others have the new weights", || {
        deployment.engines[1..]
            .iter()
            .all(|engine| engine.version() == 2)
    });
    thread::sleep(Duration::from_millis(500));
    assert!(leaving.orders().is_empty());
}

/// Guards against values of the header that don't say that an engine leaves.
#[test]
fn odd_values_send_no_engine_away() {
    let deployment = Deployment::start(PROGRAM, 1, 1);
    let engine = &deployment.services[0];
    for value in ["0", "", "no", "-1", "1e9"] {
        engine.set_faults(EngineFaults {
            leaving: Some(value.to_owned()),
            ..EngineFaults::default()
        });
        let before = engine.runs().len();
        let sent = send_to(&deployment, 0, RouteKind::Once, Duration::from_millis(300));
        assert_eq!(sent.served, sent.sent_at.len());
        assert!(engine.runs().len() > before, "a value of {value:?}");
    }
}
