//! Streams of a service whose engines have several software versions.

use {
    super::PROGRAM,
    mangowalk_platform_standins::{
        Caller, Deployment, Engine, EngineFaults, PathState, Reply, wait_until,
    },
    nix::sys::signal::Signal,
    std::{collections::BTreeSet, thread, time::Duration},
};

/// Fewer engines have the one version, so streams that are moved to any engine are likely
/// to get to the other one.
const MIXED: [&str; 6] = ["v1", "v1", "v2", "v2", "v2", "v2"];

pub(super) const STREAMS: usize = 8;

/// Returns the path of a stream. Streams that crash engines must not look like one request
/// that crashes all of them.
pub(super) fn path(stream: usize) -> String {
    format!("/reply/{stream}")
}

pub(super) fn set_faults(deployment: &Deployment, faults: &EngineFaults) {
    for engine in &deployment.engines {
        engine.set_faults(faults.clone());
    }
}

/// Starts streams at one machine, and calls `disturb` while they run. Returns the request
/// IDs and what arrived.
fn streams_during(
    deployment: &mut Deployment,
    machine: usize,
    disturb: impl FnOnce(&mut Deployment),
) -> Vec<(String, Reply)> {
    let callers = vec![deployment.caller(machine); STREAMS];
    streams_of(deployment, callers, disturb)
}

/// Starts a stream of each caller, and calls `disturb` while they run. Returns the request
/// IDs and what arrived.
pub(super) fn streams_of(
    deployment: &mut Deployment,
    callers: Vec<Caller>,
    disturb: impl FnOnce(&mut Deployment),
) -> Vec<(String, Reply)> {
    let faults = EngineFaults {
        event_interval_ms: 100,
        ..EngineFaults::default()
    };
    set_faults(deployment, &faults);
    thread::scope(|scope| {
        let streams: Vec<_> = callers
            .into_iter()
            .enumerate()
            .map(|(stream, caller)| {
                scope.spawn(move || {
                    let id = Caller::new_request_id();
                    let reply = caller.stream(&path(stream), &id);
                    (id, reply)
                })
            })
            .collect();
        thread::sleep(Duration::from_millis(500));
        disturb(deployment);
        let streams = streams.into_iter();
        streams
            .map(|stream| stream.join().expect("the caller ends"))
            .collect()
    })
}

/// Takes streams up at a machine, and returns those that are complete then.
pub(super) fn complete_streams(
    deployment: &Deployment,
    machine: usize,
    streams: &[(String, Reply)],
) -> usize {
    let caller = deployment.caller(machine);
    let joined = streams
        .iter()
        .enumerate()
        .map(|(stream, (first_id, begun))| {
            let id = Caller::new_request_id();
            let next = caller.take_up(&path(stream), &id, first_id, begun);
            begun.followed_by(&next)
        });
    joined.filter(Reply::is_complete_stream).count()
}

/// Guards against an answer that an instance continues at another software version.
#[test]
fn a_stream_goes_on_at_its_version_within_an_answer() {
    let deployment = Deployment::start_versions(PROGRAM, 1, &MIXED);
    let faults = EngineFaults {
        cut_after_events: Some(7),
        ..EngineFaults::default()
    };
    set_faults(&deployment, &faults);
    let caller = deployment.caller(0);
    for stream in 0..STREAMS {
        let reply = caller.stream(&path(stream), &Caller::new_request_id());
        assert!(reply.is_complete_stream(), "{reply:?}");
    }
}

/// Guards against an answer that a peer continues at another software version.
#[test]
fn a_stream_goes_on_at_its_version_through_a_peer() {
    let prepared = Deployment::prepare_versions(PROGRAM, 2, &MIXED);
    let (mut deployment, paths, _gates) = prepared.start_on_paths();
    let streams = streams_during(&mut deployment, 0, |_| paths[0].set(PathState::Silent));
    for (id, reply) in &streams {
        assert!(reply.is_complete_stream(), "{reply:?}");
        assert_eq!(deployment.times_run(id), 2);
    }
}

/// Guards against a stream that its caller takes up at another instance and that goes on
/// there at another software version, or isn't taken up.
#[test]
fn a_stream_goes_on_at_its_version_at_another_instance() {
    let deployment = Deployment::start_versions(PROGRAM, 2, &MIXED);
    let faults = EngineFaults {
        cut_after_events: Some(3),
        ..EngineFaults::default()
    };
    set_faults(&deployment, &faults);
    let caller = deployment.caller(0);
    let begun: Vec<(String, Reply)> = (0..STREAMS)
        .map(|stream| {
            let id = Caller::new_request_id();
            let reply = caller.stream(&path(stream), &id);
            (id, reply)
        })
        .collect();
    assert!(begun.iter().all(|(_, reply)| !reply.is_complete));
    set_faults(&deployment, &EngineFaults::default());
    assert_eq!(complete_streams(&deployment, 1, &begun), STREAMS);
}

/// Guards against streams that go on at another software version, or are lost, after the
/// instance that served them was killed.
#[test]
fn streams_of_a_killed_instance_go_on_at_their_versions() {
    let mut deployment = Deployment::start_versions(PROGRAM, 3, &MIXED);
    let begun = streams_during(&mut deployment, 0, |deployment| {
        deployment.machines[0].kill();
    });
    assert!(begun.iter().all(|(_, reply)| !reply.is_complete));
    assert!(begun.iter().all(|(_, reply)| !reply.body.is_empty()));
    assert_eq!(complete_streams(&deployment, 1, &begun), STREAMS);
}

/// Guards against a stream of unknown origin that goes on at any software version.
#[test]
fn a_stream_of_unknown_origin_is_refused_and_not_run() {
    let deployment = Deployment::start_versions(PROGRAM, 2, &MIXED);
    let begun = Reply {
        body: "id: 3\n".to_owned(),
        ..Reply::default()
    };
    let caller = deployment.caller(0);
    for stream in 0..STREAMS {
        let id = Caller::new_request_id();
        let reply = caller.take_up(&path(stream), &id, "no-such-request", &begun);
        assert_eq!((reply.status, deployment.times_run(&id)), (503, 0));
    }
}

/// Guards against a caller that binds its stream by the record of another team's.
#[test]
fn a_stream_of_another_team_is_of_unknown_origin() {
    let deployment = Deployment::start_versions(PROGRAM, 2, &MIXED);
    let first_id = Caller::new_request_id();
    let begun = deployment.caller(0).stream(&path(0), &first_id);
    assert!(begun.is_complete_stream(), "{begun:?}");
    let mut caller = deployment.caller(0);
    caller.key = Some("key-of-walled".to_owned());
    let id = Caller::new_request_id();
    let reply = caller.take_up(&path(0), &id, &first_id, &begun);
    assert_eq!((reply.status, deployment.times_run(&id)), (503, 0));
}

/// Guards against refusing streams of unknown origin where the service has had one
/// software version only, so that they can't have begun at another one.
#[test]
fn a_stream_of_unknown_origin_goes_on_where_there_is_one_version_only() {
    let mut deployment = Deployment::start(PROGRAM, 3, 3);
    let begun = Reply {
        body: "id: 3\n".to_owned(),
        ..Reply::default()
    };
    let goes_on = |deployment: &Deployment, machine: usize| {
        let id = Caller::new_request_id();
        let caller = deployment.caller(machine);
        let reply = caller.take_up(&path(machine), &id, "no-such-request", &begun);
        reply.status == 200 && reply.event_ids() == (4..12).collect::<Vec<_>>()
    };
    // No instance reads current state from the store in its first second.
    thread::sleep(Duration::from_millis(1_500));
    assert!(goes_on(&deployment, 2));
    // An instance that has just started relies on its peers.
    deployment.machines[2].kill();
    deployment.machines[2].start();
    wait_until("the instance is ready", || {
        deployment.machines[2].is_ready()
    });
    wait_until("the instance knows its peers", || {
        deployment.addresses(&deployment.machines[2]).len() == 3
    });
    assert!(goes_on(&deployment, 2));
}

/// Kills all instances at once and starts them again.
fn restart_all(deployment: &mut Deployment) {
    for machine in &mut deployment.machines {
        machine.kill();
    }
    for machine in &mut deployment.machines {
        machine.start();
    }
    deployment.wait_until_ready();
}

/// Guards against streams that are lost with all instances though their service has had
/// one software version only.
#[test]
fn a_single_version_is_still_known_after_all_instances_were_killed() {
    let mut deployment = Deployment::start(PROGRAM, 3, 3);
    wait_until("the builds are kept in the store", || {
        deployment.store.read("builds", "listed").is_some()
    });
    let begun = streams_during(&mut deployment, 0, restart_all);
    assert!(begun.iter().all(|(_, reply)| !reply.body.is_empty()));
    assert_eq!(complete_streams(&deployment, 1, &begun), STREAMS);
}

/// Guards against streams that go on at any version once all their records are lost.
#[test]
fn streams_without_records_are_refused_after_all_instances_were_killed() {
    let mut deployment = Deployment::start_versions(PROGRAM, 3, &MIXED);
    wait_until("the builds are kept in the store", || {
        deployment.store.read("builds", "listed").is_some()
    });
    let begun = streams_during(&mut deployment, 0, restart_all);
    let caller = deployment.caller(1);
    for (stream, (first_id, reply)) in begun.iter().enumerate() {
        let id = Caller::new_request_id();
        let next = caller.take_up(&path(stream), &id, first_id, reply);
        assert_eq!((next.status, deployment.times_run(&id)), (503, 0));
    }
}

/// When the engines of the version that began the streams leave.
#[derive(Debug, Clone, Copy)]
enum OldVersionLeaves {
    BeforeTheKill,
    WhileAllAreDown,
    AfterTheReturn,
}

fn remove_old_version(deployment: &Deployment) {
    let engines = deployment.engines.iter();
    for engine in engines.filter(|engine| engine.software() == "v1") {
        deployment.store.remove("servers", engine.id());
    }
}

fn kill_all(deployment: &mut Deployment) {
    for machine in &mut deployment.machines {
        machine.kill();
    }
}

/// Takes all streams up at each machine as soon as it is ready.
///
/// # Panics
///
/// Panics if a stream is joined from two versions, or a refused one was run.
fn take_up_at_all(deployment: &Deployment, streams: &[(String, Reply)]) {
    for (machine, started) in deployment.machines.iter().enumerate() {
        wait_until("the instance is ready", || started.is_ready());
        let caller = deployment.caller(machine);
        for (stream, (first_id, begun)) in streams.iter().enumerate() {
            let id = Caller::new_request_id();
            let next = caller.take_up(&path(stream), &id, first_id, begun);
            let joined = begun.followed_by(&next);
            if next.status == 200 {
                assert!(joined.is_complete_stream(), "{joined:?}");
            } else {
                assert_eq!((next.status, deployment.times_run(&id)), (503, 0));
            }
        }
    }
}

/// Guards against streams that are joined from two versions after all instances were killed
/// beside a release: nobody is left who knows which version began them, and the list shows
/// the new one only.
#[test]
fn no_stream_is_joined_from_two_versions_after_all_instances_were_killed() {
    use OldVersionLeaves::*;
    for leaves in [BeforeTheKill, WhileAllAreDown, AfterTheReturn] {
        let mut deployment = Deployment::start_versions(PROGRAM, 3, &MIXED);
        wait_until("the builds are kept in the store", || {
            deployment.store.read("builds", "listed").is_some()
        });
        let begun = streams_during(&mut deployment, 0, |deployment| {
            if matches!(leaves, BeforeTheKill) {
                remove_old_version(deployment);
                thread::sleep(Duration::from_millis(200));
            }
            kill_all(deployment);
        });
        assert!(begun.iter().all(|(_, reply)| !reply.is_complete));
        if matches!(leaves, WhileAllAreDown) {
            remove_old_version(&deployment);
        }
        for machine in &mut deployment.machines {
            machine.start();
        }
        if matches!(leaves, AfterTheReturn) {
            take_up_at_all(&deployment, &begun);
            remove_old_version(&deployment);
        }
        // As soon as the instances are ready, and when they know each other and the list.
        take_up_at_all(&deployment, &begun);
        thread::sleep(Duration::from_millis(2_500));
        take_up_at_all(&deployment, &begun);
    }
}

/// Guards against streams that go on at another version than the one that began them, as that
/// one was in service too shortly to be kept: the instances that write the kept builds are
/// frozen when it appears, and it is gone again when all instances return.
#[test]
fn a_version_that_was_not_kept_is_not_forgotten_with_all_instances() {
    let mut deployment = Deployment::start_versions(PROGRAM, 3, &["v1", "v1"]);
    wait_until("the builds are kept in the store", || {
        deployment.store.read("builds", "listed").is_some()
    });
    thread::sleep(Duration::from_millis(1_500));
    for writer in &deployment.machines[..2] {
        writer.signal(Signal::SIGSTOP);
    }
    let trial = Engine::start("e9", "llm", Some("model"), "a").with_software("v2");
    let store = &deployment.store;
    store.write("servers", trial.id(), trial.entry("ready"));
    thread::sleep(Duration::from_millis(200));
    deployment.engines.push(trial);
    let begun = streams_during(&mut deployment, 2, kill_all);
    deployment.store.remove("servers", "e9");
    set_faults(&deployment, &EngineFaults::default());
    for machine in &mut deployment.machines {
        machine.start();
    }
    take_up_at_all(&deployment, &begun);
    thread::sleep(Duration::from_millis(2_500));
    take_up_at_all(&deployment, &begun);
}

/// Guards against a new version that gets no streams at instances that don't write the kept
/// builds themselves.
#[test]
fn streams_begin_at_a_new_version_at_all_instances() {
    let mut deployment = Deployment::start_versions(PROGRAM, 4, &["v1", "v1"]);
    let new = Engine::start("e9", "llm", Some("model"), "a").with_software("v2");
    deployment
        .store
        .write("servers", new.id(), new.entry("ready"));
    deployment.engines.push(new);
    for machine in 0..4 {
        wait_until("a stream begins at the new version", || {
            let streams = streams_during(&mut deployment, machine, |_| ());
            assert!(streams.iter().all(|(_, reply)| reply.is_complete_stream()));
            let mut versions = streams.iter().map(|(_, reply)| reply.software_versions());
            versions.any(|versions| versions == BTreeSet::from(["v2"]))
        });
    }
}

/// Guards against KV cache that one software version wrote and another one reads, also by
/// way of a KV cache store.
#[test]
fn versions_cache_parts_under_salts_of_their_own() {
    let deployment = Deployment::start_versions(PROGRAM, 1, &["v1", "v2"]);
    let caller = deployment.caller(0);
    let salts = || -> Vec<BTreeSet<Option<String>>> {
        let engines = deployment.engines.iter();
        let salts = engines.map(|engine| engine.runs().into_iter().map(|run| run.salt).collect());
        salts.collect()
    };
    wait_until("both engines have run a stream", || {
        let id = Caller::new_request_id();
        let streams = (0..STREAMS).map(|stream| {
            let (caller, id) = (caller.clone(), format!("{id}{stream}"));
            thread::spawn(move || caller.stream(&path(stream), &id))
        });
        let streams: Vec<_> = streams.collect();
        for stream in streams {
            stream.join().expect("the caller ends");
        }
        salts().iter().all(|salts| !salts.is_empty())
    });
    let salts = salts();
    assert!(salts[0].is_disjoint(&salts[1]), "{salts:?}");
}
