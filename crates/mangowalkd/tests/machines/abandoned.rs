//! Requests whose callers leave while an engine works for them, or is about to.

use {
    super::PROGRAM,
    mangowalk_platform_standins::{
        Caller, Deployment, EngineFaults, KEY, PathState, Reply, RouteKind, wait_until,
    },
    nix::sys::signal::Signal,
    std::{
        net::{Shutdown, TcpStream},
        thread,
        time::{Duration, Instant},
    },
};

/// Time from the close of a caller's connection until no engine may work for it.
const MAX_WORK_TIME: Duration = Duration::from_millis(500);

/// Time for which the work of the engines goes on if nobody ends it.
const WORK_MS: u64 = 2_500;

/// Returns what may follow a request on its connection: nothing, the line end of old clients,
/// the next request, more than is read ahead.
fn followers() -> [String; 4] {
    let next = Caller::request_text(
        "GET",
        RouteKind::Idempotent.path(),
        &Caller::new_request_id(),
        KEY,
        "Content-Length: 0\r\n\r\n",
    );
    let [none, line] = ["", "\r\n"].map(str::to_owned);
    [none, line, next, "\r\n".repeat(20_000)]
}

/// Sends requests with each of the followers.
fn begin_all(caller: &Caller, kind: RouteKind) -> Vec<(String, TcpStream)> {
    let followers = followers().into_iter();
    followers
        .map(|behind| {
            let id = Caller::new_request_id();
            let stream = caller.begin(kind.path(), &id, &behind);
            (id, stream.expect("the request is sent"))
        })
        .collect()
}

/// What became of a request whose caller has left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Work {
    /// Times that it reached an engine.
    arrivals: usize,
    /// Of these, the ones that were ended in time.
    ended: usize,
}

/// A request that had reached one engine.
const ONE_RUN: Work = Work {
    arrivals: 1,
    ended: 1,
};

fn work(deployment: &Deployment, id: &str, left_at: Instant) -> Work {
    let engines = || deployment.engines.iter().chain(&deployment.services);
    let arrivals = engines().flat_map(|engine| engine.arrivals());
    let abandoned = engines().flat_map(|engine| engine.abandoned_runs());
    Work {
        arrivals: arrivals.filter(|arrival| arrival.request_id == id).count(),
        ended: abandoned
            .filter(|run| run.request_id == id && run.closed_at <= left_at + MAX_WORK_TIME)
            .count(),
    }
}

/// Lets the callers leave, and checks that the engines are told in time and that no other one
/// gets the request later.
fn assert_work_ends(deployment: &Deployment, requests: Vec<(String, TcpStream)>, expected: Work) {
    let left_at = Instant::now();
    let ids = requests.into_iter().map(|(id, _)| id);
    let ids: Vec<String> = ids.collect();
    thread::sleep(Duration::from_millis(WORK_MS + 1_000));
    let found = ids.iter().map(|id| work(deployment, id, left_at));
    let found: Vec<Work> = found.collect();
    assert_eq!(found, vec![expected; ids.len()]);
    let log: String = deployment
        .machines
        .iter()
        .map(|machine| machine.log())
        .collect();
    for id in ids {
        let line = format!("event=abandoned request={id}");
        assert!(log.contains(&line), "no line tells that {id} was abandoned");
    }
}

fn set_faults(deployment: &Deployment, faults: &EngineFaults) {
    for engine in deployment.engines.iter().chain(&deployment.services) {
        engine.set_faults(faults.clone());
    }
}

fn slow_faults() -> EngineFaults {
    EngineFaults {
        plain_duration_ms: WORK_MS,
        queue_ms: WORK_MS,
        ..EngineFaults::default()
    }
}

/// Guards against a service that works on, and a second one that gets the request, after the
/// caller of a plain request has left.
#[test]
fn the_work_of_a_service_ends_with_its_caller() {
    let deployment = Deployment::start(PROGRAM, 1, 1);
    set_faults(&deployment, &slow_faults());
    let requests = begin_all(&deployment.caller(0), RouteKind::Idempotent);
    thread::sleep(Duration::from_millis(300));
    assert_work_ends(&deployment, requests, ONE_RUN);
}

/// Guards against a request that stays in an engine's queue after its caller has left.
#[test]
fn a_request_leaves_an_engines_queue_with_its_caller() {
    let deployment = Deployment::start(PROGRAM, 1, 1);
    set_faults(&deployment, &slow_faults());
    let requests = begin_all(&deployment.caller(0), RouteKind::Resumable);
    thread::sleep(Duration::from_millis(300));
    assert_work_ends(&deployment, requests, ONE_RUN);
}

/// Guards against an engine that reads the prompt of a caller that has left: its stream has
/// begun, but nothing is written by which the instance would notice.
#[test]
fn an_engine_that_has_written_nothing_stops_with_its_caller() {
    let deployment = Deployment::start(PROGRAM, 1, 1);
    let faults = EngineFaults {
        event_interval_ms: WORK_MS,
        ..EngineFaults::default()
    };
    set_faults(&deployment, &faults);
    let requests = begin_all(&deployment.caller(0), RouteKind::Stream);
    thread::sleep(Duration::from_millis(300));
    assert_work_ends(&deployment, requests, ONE_RUN);
}

/// Guards against work that goes on behind a peer, which learns of the caller's end only from
/// the instance that passed the request on.
#[test]
fn the_work_behind_a_peer_ends_with_its_caller() {
    let (deployment, paths, _gates) = Deployment::start_with_paths(PROGRAM, 2, 1);
    paths[0].set(PathState::Reset);
    let caller = deployment.caller(0);
    wait_until("the instance passes requests on", || {
        let id = Caller::new_request_id();
        let plain = caller.plain("GET", RouteKind::Idempotent.path(), &id);
        let stream = caller.stream(RouteKind::Stream.path(), &Caller::new_request_id());
        let is_served = plain.status == 200 && stream.is_complete_stream();
        is_served && deployment.machines[0].log().contains("event=passed_on")
    });
    set_faults(&deployment, &slow_faults());
    let mut requests = begin_all(&caller, RouteKind::Idempotent);
    requests.extend(begin_all(&caller, RouteKind::Resumable));
    thread::sleep(Duration::from_millis(300));
    assert_work_ends(&deployment, requests, ONE_RUN);
}

/// Guards against a request that is sent to an engine after its caller has left the waiting
/// room, and one that keeps its place there.
#[test]
fn a_waiting_request_leaves_with_its_caller() {
    let mut deployment = Deployment::prepare(PROGRAM, 1, 1);
    for machine in &mut deployment.machines {
        machine.change_settings(|text| format!("{text}Contracts=base,pressure\n"));
        machine.start();
    }
    deployment.wait_until_ready();
    set_faults(&deployment, &slow_faults());
    let mut caller = deployment.caller(0);
    caller.prompt_parts = "e4402b7d:20000".to_owned();
    caller.prompt_tokens = 20_000;
    let id = Caller::new_request_id();
    let _first = caller.begin(RouteKind::Stream.path(), &id, "");
    wait_until("the engine has the first request", || {
        work(&deployment, &id, Instant::now()).arrivals == 1
    });
    let requests = begin_all(&caller, RouteKind::Stream);
    thread::sleep(Duration::from_millis(300));
    let log = deployment.machines[0].log();
    for (id, _) in &requests {
        assert!(log.contains(&format!("event=waits request={id}")), "{id}");
    }
    assert_work_ends(
        &deployment,
        requests,
        Work {
            arrivals: 0,
            ended: 0,
        },
    );
}

/// Guards against an engine that takes up a stream which was cut off, after its caller has left.
#[test]
fn the_work_on_a_resumed_stream_ends_with_its_caller() {
    // With so many, no engine fails often enough to be left out.
    let deployment = Deployment::start(PROGRAM, 1, 8);
    let cut = EngineFaults {
        cut_after_events: Some(3),
        event_interval_ms: 150,
        ..EngineFaults::default()
    };
    set_faults(&deployment, &cut);
    let requests = begin_all(&deployment.caller(0), RouteKind::Resumable);
    thread::sleep(Duration::from_millis(250));
    set_faults(&deployment, &slow_faults());
    wait_until("the streams are resumed", || {
        let mut ids = requests.iter().map(|(id, _)| id);
        ids.all(|id| work(&deployment, id, Instant::now()).arrivals == 2)
    });
    // The first engine has ended its run itself.
    let resumed = Work {
        arrivals: 2,
        ended: 1,
    };
    assert_work_ends(&deployment, requests, resumed);
}

/// Guards against a request that another engine gets after its caller has left, as its engine
/// is probed meanwhile and found silent.
#[test]
fn a_request_is_not_sent_again_for_a_caller_that_left_during_a_probe() {
    let deployment = Deployment::start(PROGRAM, 1, 2);
    let silent = EngineFaults {
        silent_after_events: Some(1),
        event_interval_ms: 300,
        ..EngineFaults::default()
    };
    set_faults(&deployment, &silent);
    let requests = begin_all(&deployment.caller(0), RouteKind::Resumable);
    // A silent engine accepts no connection, so all requests have to be there before.
    wait_until("the engines have the requests", || {
        let mut ids = requests.iter().map(|(id, _)| id);
        ids.all(|id| work(&deployment, id, Instant::now()).arrivals == 1)
    });
    thread::sleep(Duration::from_millis(700));
    assert_work_ends(&deployment, requests, ONE_RUN);
}

/// Guards against work that goes on for a caller which leaves while the instance stops.
#[test]
fn the_work_of_a_stopping_instance_ends_with_its_caller() {
    let deployment = Deployment::start(PROGRAM, 2, 1);
    set_faults(&deployment, &slow_faults());
    let mut requests = begin_all(&deployment.caller(0), RouteKind::Idempotent);
    requests.extend(begin_all(&deployment.caller(0), RouteKind::Resumable));
    thread::sleep(Duration::from_millis(200));
    deployment.machines[0].signal(Signal::SIGTERM);
    thread::sleep(Duration::from_millis(200));
    assert_work_ends(&deployment, requests, ONE_RUN);
}

/// Guards against work that goes on for a caller which ends its sending side alone or resets its
/// connection.
#[test]
fn the_work_ends_with_either_end_of_a_connection() {
    let deployment = Deployment::start(PROGRAM, 1, 1);
    set_faults(&deployment, &slow_faults());
    let caller = deployment.caller(0);
    let requests = begin_all(&caller, RouteKind::Idempotent);
    thread::sleep(Duration::from_millis(300));
    let mut open = Vec::new();
    for (_, stream) in &requests {
        stream.shutdown(Shutdown::Write).expect("it is open");
        open.push(stream.try_clone().expect("a descriptor is left"));
    }
    assert_work_ends(&deployment, requests, ONE_RUN);
}

/// Guards against a caller that leaves unnoticed while it is looked up where its stream began.
#[test]
fn a_stream_is_not_taken_up_for_a_caller_that_left() {
    let (deployment, _paths, gates) = Deployment::start_with_paths(PROGRAM, 1, 1);
    gates[0].silence();
    let caller = deployment.caller(0);
    let taking_up = caller.taking_up("0000", &Reply::default());
    let requests = begin_all(&taking_up, RouteKind::Resumable);
    thread::sleep(Duration::from_millis(50));
    assert_work_ends(
        &deployment,
        requests,
        Work {
            arrivals: 0,
            ended: 0,
        },
    );
}
