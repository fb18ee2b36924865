//! Streams that are taken up at an instance which is cut off or stood still.

use {
    super::{
        PROGRAM,
        versions::{STREAMS, complete_streams, path, set_faults, streams_of},
    },
    mangowalk_platform_standins::{
        Caller, Deployment, Engine, EngineFaults, Reply, StoreGate, wait_until,
    },
    nix::sys::signal::Signal,
    std::{thread, time::Duration},
};

/// The instance that is out of step, and the one that begins the streams.
const OUT_OF_STEP: usize = 2;
const IN_STEP: usize = 0;

/// Time within which all instances know that a version is kept.
const KEPT_KNOWN: Duration = Duration::from_millis(1_200);

/// Time within which a request lies in the socket of a stopped instance.
const ARRIVAL: Duration = Duration::from_millis(200);

/// Starts three instances and engines of one version that is kept in the store.
fn start() -> (Deployment, Vec<StoreGate>) {
    let prepared = Deployment::prepare_versions(PROGRAM, 3, &["v1"]);
    let (deployment, _paths, gates) = prepared.start_on_paths();
    wait_until("the builds are kept in the store", || {
        deployment.store.read("builds", "listed").is_some()
    });
    thread::sleep(Duration::from_millis(1_500));
    (deployment, gates)
}

/// Stops the instance, and adds engines of a new version as soon as it is stopped.
fn stop_beside_release(deployment: &mut Deployment) {
    deployment.machines[OUT_OF_STEP].signal(Signal::SIGSTOP);
    for id in ["e6", "e7", "e8", "e9"] {
        let engine = Engine::start(id, "llm", Some("model"), "a").with_software("v2");
        let store = &deployment.store;
        store.write("servers", engine.id(), engine.entry("ready"));
        deployment.engines.push(engine);
    }
    wait_until("the new version is kept in the store", || {
        let kept = deployment.store.read("builds", "listed");
        let of_service = kept.and_then(|kept| kept["services"]["llm"].as_array().map(Vec::len));
        of_service == Some(2)
    });
    thread::sleep(KEPT_KNOWN);
    wait_until_missed(deployment);
}

/// Waits until the peers of the stopped instance tell it of no stream any more.
fn wait_until_missed(deployment: &Deployment) {
    wait_until("its peers notice that it is gone", || {
        let peer = &deployment.machines[IN_STEP];
        deployment.addresses(peer).len() < 3
    });
}

/// Begins streams at the instance in step, and calls `disturb` while they run. No two have a
/// part of their prompts in common, which would place them at one engine.
fn begin(
    deployment: &mut Deployment,
    disturb: impl FnOnce(&mut Deployment),
) -> Vec<(String, Reply)> {
    let caller = deployment.caller(IN_STEP);
    let callers = (0..STREAMS).map(|stream| {
        let parts = format!("a{stream}:800,b{stream}:200");
        caller.clone().with_prompt_parts(parts)
    });
    let callers = callers.collect();
    streams_of(deployment, callers, disturb)
}

/// Begins streams, and kills all instances but the one out of step.
fn begin_and_kill(deployment: &mut Deployment) -> Vec<(String, Reply)> {
    let begun = begin(deployment, |deployment| {
        deployment.machines[0].kill();
        deployment.machines[1].kill();
    });
    assert!(begun.iter().all(|(_, reply)| !reply.is_complete));
    set_faults(deployment, &EngineFaults::default());
    begun
}

/// Takes the streams up while the instance is stopped, and lets it run.
fn take_up_as_it_resumes(
    deployment: &Deployment,
    begun: &[(String, Reply)],
) -> Vec<(String, Reply)> {
    let caller = deployment.caller(OUT_OF_STEP);
    thread::scope(|scope| {
        let replies: Vec<_> = begun
            .iter()
            .enumerate()
            .map(|(stream, (first_id, begun))| {
                let caller = caller.clone();
                scope.spawn(move || {
                    let id = Caller::new_request_id();
                    let reply = caller.take_up(&path(stream), &id, first_id, begun);
                    (id, reply)
                })
            })
            .collect();
        thread::sleep(ARRIVAL);
        deployment.machines[OUT_OF_STEP].signal(Signal::SIGCONT);
        let replies = replies.into_iter();
        replies
            .map(|reply| reply.join().expect("the caller ends"))
            .collect()
    })
}

fn is_of_new_version((_, reply): &(String, Reply)) -> bool {
    reply.software_versions().contains("v2")
}

/// # Panics
///
/// Panics if a stream is joined from two versions, or a refused one was run.
fn assert_unmixed(
    deployment: &Deployment,
    begun: &[(String, Reply)],
    taken_up: &[(String, Reply)],
) {
    let log = deployment.machines[OUT_OF_STEP].log();
    for ((_, begun), (id, next)) in begun.iter().zip(taken_up) {
        let joined = begun.followed_by(next);
        if next.status == 200 {
            assert!(joined.software_versions().len() <= 1, "{joined:?}\n{log}");
        } else {
            assert_eq!((next.status, deployment.times_run(id)), (503, 0), "{log}");
        }
    }
}

/// Guards against streams of a new version that go on at the former one at an instance which
/// neither peers nor the store could tell of the new one.
#[test]
fn an_instance_out_of_step_continues_no_stream_at_the_only_version_it_knows() {
    let (mut deployment, gates) = start();
    gates[OUT_OF_STEP].close();
    stop_beside_release(&mut deployment);
    let begun = begin_and_kill(&mut deployment);
    assert!(begun.iter().any(is_of_new_version), "{begun:?}");
    let taken_up = take_up_as_it_resumes(&deployment, &begun);
    assert_unmixed(&deployment, &begun, &taken_up);
}

/// Guards against the same at an instance that stood still and reads requests before it reads
/// what the store and its peers have sent meanwhile.
#[test]
fn an_instance_that_stood_still_continues_no_stream_at_the_only_version_it_knows() {
    let (mut deployment, _gates) = start();
    stop_beside_release(&mut deployment);
    let begun = begin_and_kill(&mut deployment);
    assert!(begun.iter().any(is_of_new_version), "{begun:?}");
    let taken_up = take_up_as_it_resumes(&deployment, &begun);
    assert_unmixed(&deployment, &begun, &taken_up);
}

/// Guards against refusing streams of a service with a single version at an instance that is
/// cut off from its peers and reads the store.
#[test]
fn an_instance_without_peers_continues_streams_of_a_single_version() {
    let (mut deployment, _gates) = start();
    deployment.machines[OUT_OF_STEP].signal(Signal::SIGSTOP);
    wait_until_missed(&deployment);
    let begun = begin_and_kill(&mut deployment);
    let taken_up = take_up_as_it_resumes(&deployment, &begun);
    assert!(taken_up.iter().all(|(_, reply)| reply.status == 200));
    assert_unmixed(&deployment, &begun, &taken_up);
}

/// Guards against refusing streams of a service with a single version at an instance that is
/// cut off from the store and hears its peers.
#[test]
fn an_instance_without_the_store_continues_streams_of_a_single_version() {
    let (mut deployment, gates) = start();
    deployment.machines[OUT_OF_STEP].signal(Signal::SIGSTOP);
    wait_until_missed(&deployment);
    let begun = begin(&mut deployment, |deployment| {
        deployment.machines[IN_STEP].kill();
    });
    set_faults(&deployment, &EngineFaults::default());
    gates[OUT_OF_STEP].close();
    deployment.machines[OUT_OF_STEP].signal(Signal::SIGCONT);
    wait_until("it knows its peer", || {
        let machine = &deployment.machines[OUT_OF_STEP];
        deployment.addresses(machine).len() == 2
    });
    assert_eq!(complete_streams(&deployment, OUT_OF_STEP, &begun), STREAMS);
}
