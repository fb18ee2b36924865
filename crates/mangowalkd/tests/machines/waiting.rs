//! Requests that wait in an instance until an engine may take them.

use {
    super::PROGRAM,
    mangowalk_platform_standins::{Caller, Deployment, EngineFaults, KEY, RouteKind, wait_until},
    nix::sys::signal::Signal,
    serde_json::json,
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        thread::{self, JoinHandle},
        time::Duration,
    },
};

/// Prompt of which an engine holds one unread. The prompts of two can't be read within the
/// target of the most urgent route, 400 ms.
const PROMPT_TOKENS: u64 = 20_000;

/// Starts an instance and an engine that writes the first event of a stream after `first_ms`.
fn start(first_ms: u64) -> Deployment {
    let mut deployment = Deployment::prepare(PROGRAM, 1, 1);
    for machine in &mut deployment.machines {
        machine.change_settings(|text| format!("{text}Contracts=base,pressure\n"));
        machine.start();
    }
    deployment.wait_until_ready();
    deployment.engines[0].set_faults(EngineFaults {
        event_interval_ms: first_ms,
        ..EngineFaults::default()
    });
    deployment
}

/// Returns the text of a request of a team that is not among the most urgent.
fn text(id: &str) -> String {
    Caller::request_text_with_tokens(RouteKind::Stream.path(), id, KEY, PROMPT_TOKENS, 50)
}

fn connect(address: SocketAddr, id: &str) -> TcpStream {
    let mut connection = TcpStream::connect(address).expect("the instance accepts connections");
    connection
        .write_all(text(id).as_bytes())
        .expect("the request is sent");
    connection
}

/// Sends a request and returns its response, however late it is.
fn send(deployment: &Deployment, id: &str) -> JoinHandle<String> {
    let mut connection = connect(deployment.machines[0].caller_address(), id);
    thread::spawn(move || {
        let mut response = String::new();
        let within = Some(Duration::from_secs(10));
        connection
            .set_read_timeout(within)
            .expect("the time is not zero");
        connection
            .read_to_string(&mut response)
            .expect("the response ends");
        response
    })
}

fn has_status(response: &str, status: u16) -> bool {
    response.starts_with(&format!("HTTP/1.1 {status} "))
}

fn metrics(deployment: &Deployment) -> String {
    Caller::get(deployment.machines[0].metrics_address(), "/metrics").body
}

fn wait_for_waiting(deployment: &Deployment, count: usize) {
    let expected = format!("mangowalk_waiting {count}\n");
    wait_until("the number of waiting requests is as expected", || {
        metrics(deployment).contains(&expected)
    });
}

/// Sends a request that the engine takes, and waits until it is there.
fn occupy(deployment: &Deployment) -> JoinHandle<String> {
    let id = Caller::new_request_id();
    let first = send(deployment, &id);
    wait_until("the engine has the first request", || {
        deployment.times_run(&id) == 1
    });
    first
}

/// Guards against a request that is refused although the engine has room for it within its
/// time, and against one that waits on after the engine has room.
#[test]
fn a_request_waits_until_the_engine_has_room() {
    let deployment = start(100);
    let first = occupy(&deployment);
    let id = Caller::new_request_id();
    let second = send(&deployment, &id);
    let reply = second.join().expect("the caller ends");
    assert!(has_status(&reply, 200), "{reply}");
    let reply = first.join().expect("the caller ends");
    assert!(has_status(&reply, 200), "{reply}");
    wait_until("the end of the wait is logged", || {
        let log = deployment.machines[0].log();
        log.lines()
            .any(|line| line.contains(&id) && line.contains("end=placed"))
    });
    wait_for_waiting(&deployment, 0);
}

/// Guards against the request of a caller that is gone, which keeps its place in the room or is
/// sent to an engine later.
#[test]
fn the_request_of_a_caller_that_leaves_is_taken_out() {
    let deployment = start(1_500);
    let first = occupy(&deployment);
    let id = Caller::new_request_id();
    let connection = connect(deployment.machines[0].caller_address(), &id);
    wait_for_waiting(&deployment, 1);
    drop(connection);
    wait_for_waiting(&deployment, 0);
    wait_until("the end of the wait is logged", || {
        let log = deployment.machines[0].log();
        log.lines()
            .any(|line| line.contains(&id) && line.contains("end=caller_gone"))
    });
    drop(first);
    thread::sleep(Duration::from_millis(2_000));
    assert_eq!(deployment.times_run(&id), 0);
}

/// Guards against an instance that stops while a request waits, which is then lost or whose
/// caller isn't told that it has not run.
#[test]
fn a_waiting_request_is_refused_when_the_instance_stops() {
    let mut deployment = start(4_000);
    let _first = occupy(&deployment);
    let id = Caller::new_request_id();
    let waiting = send(&deployment, &id);
    wait_for_waiting(&deployment, 1);
    deployment.machines[0].signal(Signal::SIGTERM);
    let reply = waiting.join().expect("the caller ends");
    assert!(has_status(&reply, 503), "{reply}");
    assert!(reply.to_lowercase().contains("retry-after: "), "{reply}");
    assert_eq!(deployment.times_run(&id), 0);
    let code = deployment.machines[0].wait_for_exit(Duration::from_secs(5));
    assert_eq!(code, Some(0));
}

/// Guards against a request that is served with a key that was withdrawn while it waited.
#[test]
fn a_waiting_request_whose_key_is_withdrawn_is_refused() {
    let mut deployment = start(2_000);
    let _first = occupy(&deployment);
    let id = Caller::new_request_id();
    let waiting = send(&deployment, &id);
    wait_for_waiting(&deployment, 1);
    deployment.configure(|configuration| {
        configuration["Tenants"][0]["ApiKeys"] = json!(["another-key"]);
    });
    let reply = waiting.join().expect("the caller ends");
    assert!(has_status(&reply, 401), "{reply}");
    assert_eq!(deployment.times_run(&id), 0);
}
