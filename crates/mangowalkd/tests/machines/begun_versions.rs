//! Streams whose version leaves its engines, or whose record nobody has.

use {
    super::{
        PROGRAM,
        versions::{STREAMS, path, set_faults},
    },
    mangowalk_platform_standins::{Caller, Deployment, EngineFaults, Reply, StoreGate, wait_until},
    std::{thread, time::Duration},
};

/// Starts one instance, behind a gate to the store, and engines of one version.
fn start_one() -> (Deployment, Vec<StoreGate>) {
    let prepared = Deployment::prepare_versions(PROGRAM, 1, &["v1", "v1"]);
    let (deployment, _paths, gates) = prepared.start_on_paths();
    wait_until("the builds are kept in the store", || {
        deployment.store.read("builds", "listed").is_some()
    });
    (deployment, gates)
}

/// Makes each engine cut its streams after some events, and calls `change` while streams run.
fn streams_cut_after(deployment: &Deployment, change: impl FnOnce()) -> Vec<Reply> {
    let faults = EngineFaults {
        cut_after_events: Some(7),
        event_interval_ms: 100,
        ..EngineFaults::default()
    };
    set_faults(deployment, &faults);
    let caller = deployment.caller(0);
    thread::scope(|scope| {
        let streams: Vec<_> = (0..STREAMS)
            .map(|stream| {
                let caller = caller.clone();
                let path = path(stream);
                scope.spawn(move || caller.stream(&path, &Caller::new_request_id()))
            })
            .collect();
        thread::sleep(Duration::from_millis(300));
        change();
        let streams = streams.into_iter();
        streams
            .map(|stream| stream.join().expect("the caller ends"))
            .collect()
    })
}

/// Guards against a begun stream that goes on at an engine which started again under its ID
/// with other software, while the list still tells the former one.
#[test]
fn no_stream_goes_on_at_an_engine_that_restarted_with_other_software() {
    let (deployment, gates) = start_one();
    gates[0].close();
    let streams = streams_cut_after(&deployment, || {
        for engine in &deployment.engines {
            engine.restart_with_software("v2");
        }
    });
    for reply in streams {
        assert!(reply.software_versions().len() <= 1, "{reply:?}");
    }
}

/// Guards against losing a stream whose version has only draining engines left, which still
/// serve.
#[test]
fn a_stream_goes_on_at_draining_engines_of_its_version() {
    let (deployment, _gates) = start_one();
    let streams = streams_cut_after(&deployment, || {
        for engine in &deployment.engines {
            let entry = engine.entry("draining");
            deployment.store.write("servers", engine.id(), entry);
        }
    });
    for reply in streams {
        assert!(reply.is_complete_stream(), "{reply:?}");
    }
}

/// Guards against refusing callers that name no request right after the instances that read
/// current state were killed, though the service has one version only.
#[test]
fn an_unnamed_stream_of_a_single_version_goes_on_while_the_readers_are_gone() {
    let mut deployment = Deployment::start(PROGRAM, 4, 2);
    wait_until("the builds are kept in the store", || {
        deployment.store.read("builds", "listed").is_some()
    });
    thread::sleep(Duration::from_millis(1_500));
    for reader in &mut deployment.machines[..2] {
        reader.kill();
    }
    let mut caller = deployment.caller(3);
    let last = ("Last-Event-Id".to_owned(), "3".to_owned());
    caller.headers.push(last);
    let reply = caller.stream(&path(0), &Caller::new_request_id());
    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(reply.event_ids(), (4..12).collect::<Vec<_>>());
}
