//! Engines that ask an instance for rest when they refuse its request.

use {
    super::PROGRAM,
    mangowalk_platform_standins::{
        Caller, Deployment, Engine, EngineFaults, MAX_WITHIN_REST, Reply, RouteKind,
        most_within_rest,
    },
    std::{
        collections::HashSet,
        thread,
        time::{Duration, Instant},
    },
};

/// Requests of callers with the machine to which each was sent.
#[derive(Default)]
struct Sent {
    ids: Vec<HashSet<String>>,
    replies: Vec<Reply>,
    longest: Duration,
}

impl Sent {
    fn served(&self) -> usize {
        let served = self.replies.iter().filter(|reply| reply.status == 200);
        served.count()
    }

    fn refused(&self) -> impl Iterator<Item = &Reply> {
        self.replies.iter().filter(|reply| reply.status == 503)
    }

    /// Asserts that no engine got more from any machine within a rest than it tolerates.
    fn assert_rests_kept(&self, engines: &[Engine]) {
        for engine in engines {
            for (machine, ids) in self.ids.iter().enumerate() {
                let most = most_within_rest(engine, |id| ids.contains(id), |_, _| false);
                let id = engine.id();
                assert!(
                    most <= MAX_WITHIN_REST,
                    "{id} got {most} requests of machine {machine} within a rest"
                );
            }
        }
    }
}

fn send(deployment: &Deployment, machine: usize, kind: RouteKind, id: &str) -> Reply {
    let caller = deployment.caller(machine);
    match kind {
        RouteKind::Resumable | RouteKind::Stream => caller.stream(kind.path(), id),
        RouteKind::Idempotent => caller.plain("GET", kind.path(), id),
        RouteKind::Once => caller.plain("POST", kind.path(), id),
    }
}

/// Sends requests of a kind to all machines for a time, one each 20 ms.
fn send_to_all(deployment: &Deployment, kind: RouteKind, within: Duration) -> Sent {
    let until = Instant::now() + within;
    let send_to = |machine: usize| {
        let mut sent = Sent::default();
        let mut ids = HashSet::new();
        while Instant::now() < until {
            let id = Caller::new_request_id();
            let began = Instant::now();
            sent.replies.push(send(deployment, machine, kind, &id));
            sent.longest = sent.longest.max(began.elapsed());
            ids.insert(id);
            thread::sleep(Duration::from_millis(20));
        }
        sent.ids.push(ids);
        sent
    };
    thread::scope(|scope| {
        let callers: Vec<_> = (0..deployment.machines.len())
            .map(|machine| scope.spawn(move || send_to(machine)))
            .collect();
        let mut all = Sent::default();
        for caller in callers {
            let sent = caller.join().expect("a caller doesn't panic");
            all.ids.extend(sent.ids);
            all.replies.extend(sent.replies);
            all.longest = all.longest.max(sent.longest);
        }
        all
    })
}

fn ask_for_rest(engines: &[Engine], seconds: &str) {
    for engine in engines {
        engine.set_faults(EngineFaults::asks_for_rest(seconds));
    }
}

fn recover(engines: &[Engine]) {
    for engine in engines {
        engine.set_faults(EngineFaults::default());
    }
}

/// Guards against requests to model engines that have asked for rest, as all others have,
/// too.
#[test]
fn model_engines_that_all_ask_for_rest_get_it() {
    let deployment = Deployment::start(PROGRAM, 3, 4);
    ask_for_rest(&deployment.engines, "3");
    let sent = send_to_all(&deployment, RouteKind::Resumable, Duration::from_secs(4));
    sent.assert_rests_kept(&deployment.engines);
}

/// Guards against requests to plain engines that have asked for rest, as all others have,
/// too.
#[test]
fn plain_engines_that_all_ask_for_rest_get_it() {
    let deployment = Deployment::start(PROGRAM, 3, 1);
    ask_for_rest(&deployment.services, "3");
    let sent = send_to_all(&deployment, RouteKind::Once, Duration::from_secs(4));
    sent.assert_rests_kept(&deployment.services);
}

/// Guards against requests to an engine that rests while others have room.
#[test]
fn an_engine_rests_while_others_serve_its_requests() {
    let deployment = Deployment::start(PROGRAM, 3, 3);
    ask_for_rest(&deployment.engines[..1], "3");
    let sent = send_to_all(&deployment, RouteKind::Stream, Duration::from_secs(4));
    sent.assert_rests_kept(&deployment.engines);
    assert_eq!(sent.served(), sent.replies.len());
}

/// Guards against a rest that counts only in refusals which say that the request wasn't run.
#[test]
fn a_refusal_without_the_mark_of_a_request_not_run_asks_for_rest() {
    let deployment = Deployment::start(PROGRAM, 2, 1);
    for engine in &deployment.services {
        engine.set_faults(EngineFaults {
            hides_not_run: true,
            ..EngineFaults::asks_for_rest("2")
        });
    }
    let sent = send_to_all(&deployment, RouteKind::Idempotent, Duration::from_secs(3));
    sent.assert_rests_kept(&deployment.services);
}

/// Guards against a rest that a report of new weights ends, as both pause an engine.
#[test]
fn new_weights_end_no_rest() {
    let deployment = Deployment::start(PROGRAM, 2, 3);
    let resting = &deployment.engines[..1];
    ask_for_rest(resting, "3");
    let sent = thread::scope(|scope| {
        let sending =
            scope.spawn(|| send_to_all(&deployment, RouteKind::Resumable, Duration::from_secs(4)));
        for version in 2..4 {
            thread::sleep(Duration::from_millis(700));
            deployment.publish_weights(version);
        }
        sending.join().expect("a caller doesn't panic")
    });
    sent.assert_rests_kept(resting);
}

/// Guards against callers that wait, or come back together or too early, while no engine can
/// take their requests.
#[test]
fn requests_are_refused_at_once_while_all_engines_rest() {
    let deployment = Deployment::start(PROGRAM, 2, 1);
    ask_for_rest(&deployment.services, "5");
    send_to_all(&deployment, RouteKind::Once, Duration::from_millis(500));
    let sent = send_to_all(&deployment, RouteKind::Once, Duration::from_secs(1));
    assert_eq!(sent.refused().count(), sent.replies.len());
    assert!(
        sent.longest < Duration::from_millis(250),
        "{:?}",
        sent.longest
    );
    let waits: Vec<f64> = sent.refused().filter_map(Reply::retry_after_s).collect();
    assert_eq!(waits.len(), sent.replies.len());
    // The rests have 3.4 to 5 s left.
    assert!(waits.iter().all(|wait| *wait >= 3.0), "{waits:?}");
    let distinct: HashSet<u64> = waits.iter().map(|wait| (wait * 100.0) as u64).collect();
    assert!(distinct.len() * 3 >= waits.len(), "{waits:?}");
}

/// Guards against engines that get nothing more after the rest that they asked for.
#[test]
fn engines_serve_again_after_their_rest() {
    let deployment = Deployment::start(PROGRAM, 2, 1);
    ask_for_rest(&deployment.services, "1.5");
    send_to_all(&deployment, RouteKind::Once, Duration::from_millis(500));
    recover(&deployment.services);
    thread::sleep(Duration::from_millis(2_000));
    let sent = send_to_all(&deployment, RouteKind::Once, Duration::from_secs(1));
    assert_eq!(sent.served(), sent.replies.len());
}

/// Guards against a rest that is forgotten with an entry that expires while the store is
/// away, and comes back.
#[test]
fn an_engine_whose_entry_comes_back_still_rests() {
    let deployment = Deployment::start(PROGRAM, 2, 1);
    let resting = &deployment.services[..1];
    ask_for_rest(resting, "6");
    let before = send_to_all(&deployment, RouteKind::Once, Duration::from_millis(700));
    deployment.store.remove("servers", resting[0].id());
    let without = send_to_all(&deployment, RouteKind::Once, Duration::from_millis(1_500));
    let entry = resting[0].entry("ready");
    deployment.store.write("servers", resting[0].id(), entry);
    let mut after = send_to_all(&deployment, RouteKind::Once, Duration::from_secs(3));
    for sent in [before, without] {
        for (ids, earlier) in after.ids.iter_mut().zip(sent.ids) {
            ids.extend(earlier);
        }
    }
    after.assert_rests_kept(resting);
}

/// Guards against values of a rest that are unreadable, or far too long, and stop an instance
/// or a service whose other engines are sound.
#[test]
fn odd_rests_stop_no_instance() {
    let deployment = Deployment::start(PROGRAM, 2, 1);
    let odd: [&[&str]; 8] = [
        &["0"],
        &["-1"],
        &["NaN"],
        &["inf"],
        &["soon"],
        &["Fri, 31 Feb 2026 99:99:99 GMT"],
        &["", "0.1"],
        &["1e300"],
    ];
    for values in odd {
        deployment.services[0].set_faults(EngineFaults {
            retry_after: values.iter().map(|value| (*value).to_owned()).collect(),
            ..EngineFaults::asks_for_rest("0")
        });
        let sent = send_to_all(&deployment, RouteKind::Once, Duration::from_millis(300));
        assert_eq!(sent.served(), sent.replies.len(), "a rest of {values:?}");
    }
}
