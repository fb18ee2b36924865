//! The command `story` on the logs of router processes.

use {
    super::{story::story, support::router_program},
    mangowalk_platform_standins::{Caller, Deployment, EngineFaults, RouteKind},
    std::{thread, time::Duration},
};

/// Time that an instance takes to write its log lines.
const LOG_FLUSH_DELAY: Duration = Duration::from_millis(200);

fn deployment() -> Deployment {
    Deployment::start(&router_program(), 2, 2)
}

/// Returns the output of `story` for a request, from the logs of all instances.
fn explain(deployment: &Deployment, request: &str) -> String {
    thread::sleep(LOG_FLUSH_DELAY);
    let logs: Vec<String> = deployment.machines.iter().map(|m| m.log()).collect();
    let (code, text) = story(&logs.concat(), request);
    assert_eq!(code, Some(0), "{text}");
    text
}

/// Every engine refuses the request as not run although none is near its limit,
/// so the caller gets status 503. The cause must name the engines and say that
/// the request has not run.
#[test]
fn a_refusal_is_explained_from_the_instances_own_logs() {
    let deployment = deployment();
    for engine in &deployment.engines {
        engine.set_faults(EngineFaults {
            refuses_as_not_run: true,
            ..EngineFaults::default()
        });
    }
    let id = Caller::new_request_id();
    let reply = deployment.caller(0).stream(RouteKind::Stream.path(), &id);
    assert_eq!(reply.status, 503, "{reply:?}");
    let text = explain(&deployment, &id);
    for part in ["Engines refused it as not run:", "e0 (full)", "e1 (full)"] {
        assert!(text.contains(part), "{part}: {text}");
    }
    assert!(text.contains("It has not run."), "{text}");
}

/// The engine breaks off in the middle of a stream that the route doesn't allow
/// to resume at another engine. The cause must name the engine and say why the
/// stream has no end.
#[test]
fn an_interrupted_stream_is_explained_from_the_instances_own_logs() {
    let deployment = deployment();
    for engine in &deployment.engines {
        engine.set_faults(EngineFaults {
            cut_after_events: Some(3),
            ..EngineFaults::default()
        });
    }
    let id = Caller::new_request_id();
    let reply = deployment.caller(1).stream(RouteKind::Stream.path(), &id);
    assert!(reply.status == 200 && !reply.is_complete, "{reply:?}");
    let text = explain(&deployment, &id);
    let ran = deployment.engines.iter().find(|engine| {
        let runs = engine.runs();
        runs.iter().any(|run| run.request_id == id)
    });
    let name = ran.expect("an engine ran it").id().to_owned();
    let cause = format!("Its stream from engine {name} was cut off (broken_off)");
    assert!(text.contains(&cause), "{text}");
}

/// A request that may run only once is sent to a service, which runs it and
/// loses the answer, so the caller gets status 502. The cause must say that the
/// request may have run and was not retried for that reason.
#[test]
fn an_unknown_outcome_is_explained_from_the_instances_own_logs() {
    let deployment = deployment();
    for service in &deployment.services {
        service.set_faults(EngineFaults {
            drops_responses: true,
            ..EngineFaults::default()
        });
    }
    let id = Caller::new_request_id();
    let reply = deployment
        .caller(0)
        .plain("POST", RouteKind::Once.path(), &id);
    assert_eq!(reply.status, 502, "{reply:?}");
    let text = explain(&deployment, &id);
    for part in [
        "no answer came back",
        "It may have run, so it was not sent again.",
    ] {
        assert!(text.contains(part), "{part}: {text}");
    }
    assert_eq!(deployment.times_run(&id), 1);
}
