//! Requests whose callers leave while an engine or a service works for them.

use {
    mangowalk_standins::{
        EngineFaults, EngineSettings, Fleet, FleetSettings, RawCaller, eventually,
    },
    serde_json::json,
    std::{
        io::Read,
        net::{SocketAddr, TcpListener},
        thread,
        time::{Duration, Instant},
    },
};

/// Time from the close of a caller's connection until no engine may work for it.
const MAX_WORK_TIME: Duration = Duration::from_millis(500);

fn fleet(engines: usize, slots: u32) -> Fleet {
    let fleet = Fleet::start(&FleetSettings {
        program: env!("CARGO_BIN_EXE_mangowalkd").to_owned(),
        engines,
        engine: EngineSettings {
            slots,
            ..EngineSettings::default()
        },
        router_args: ["token", "first-token", "request"]
            .map(|name| format!("--{name}-timeout-ms=20000"))
            .to_vec(),
        ..FleetSettings::default()
    });
    fleet.wait_until_served();
    fleet
}

/// Sends a request for text, with bytes behind it.
fn ask(fleet: &Fleet, prompt: &str, stream: bool, behind: &str) -> RawCaller {
    let body = json!({
        "model": "drafting",
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": 20,
        "stream": stream,
    })
    .to_string();
    let mut caller = RawCaller::connect(fleet.routers[0].address());
    let text = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {}\r\n\
         Content-Length: {}\r\n\r\n{body}{behind}",
        Fleet::KEY,
        body.len()
    );
    assert!(caller.send(text.as_bytes()));
    caller
}

fn running(fleet: &Fleet) -> u32 {
    let engines = fleet.engines.iter();
    engines.map(|engine| engine.state().load.running).sum()
}

/// Lets the callers leave, and checks that no engine works for them soon after.
fn assert_engines_are_freed(fleet: &Fleet, callers: Vec<RawCaller>) {
    let count = callers.len() as u32;
    eventually("the engines work", || running(fleet) == count);
    drop(callers);
    thread::sleep(MAX_WORK_TIME);
    assert_eq!(running(fleet), 0, "engines work for callers that have left");
}

/// Guards against an engine that works on an answer which is sent in one piece, for a caller
/// that has left.
#[test]
fn a_caller_of_a_whole_answer_that_leaves_frees_its_engine() {
    let fleet = fleet(1, 8);
    fleet.engines[0].set_faults(EngineFaults {
        stall: true,
        ..EngineFaults::default()
    });
    let callers = ["", "\r\n"].map(|behind| ask(&fleet, "gone", false, behind));
    assert_engines_are_freed(&fleet, callers.into());
}

/// Guards against an engine that is never silent, for a caller that has left and to whom nothing
/// is written before the answer is whole.
#[test]
fn a_caller_that_leaves_while_its_whole_answer_is_written_frees_its_engine() {
    let fleet = fleet(1, 8);
    fleet.engines[0].set_faults(EngineFaults {
        slow_factor: 30,
        ..EngineFaults::default()
    });
    let callers = ["", "\r\n"].map(|behind| ask(&fleet, "gone", false, behind));
    assert_engines_are_freed(&fleet, callers.into());
}

/// Guards against an engine that reads the prompt of a stream whose caller has left.
#[test]
fn a_caller_that_leaves_before_the_first_token_frees_its_engine() {
    let fleet = fleet(1, 8);
    fleet.engines[0].set_faults(EngineFaults {
        stall: true,
        ..EngineFaults::default()
    });
    let callers = ["", "\r\n"].map(|behind| ask(&fleet, "gone", true, behind));
    assert_engines_are_freed(&fleet, callers.into());
}

/// Guards against an engine that pauses between two tokens of a stream whose caller has left.
#[test]
fn a_caller_that_leaves_between_tokens_frees_its_engine() {
    let fleet = fleet(1, 8);
    fleet.engines[0].set_faults(EngineFaults {
        freeze_after_tokens: Some(1),
        ..EngineFaults::default()
    });
    let mut callers = ["", "\r\n"].map(|behind| ask(&fleet, "gone", true, behind));
    for caller in &mut callers {
        assert!(caller.read_until("w0x"));
    }
    assert_engines_are_freed(&fleet, callers.into());
}

/// Guards against a queued request that is sent to an engine after its caller has left.
#[test]
fn a_caller_that_leaves_the_queue_is_not_served() {
    let fleet = fleet(1, 1);
    fleet.engines[0].set_faults(EngineFaults {
        slow_factor: 20,
        ..EngineFaults::default()
    });
    let mut first = ask(&fleet, "first", true, "");
    eventually("the engine works", || running(&fleet) == 1);
    let queued = [false, true].map(|stream| ask(&fleet, "queued", stream, ""));
    thread::sleep(Duration::from_millis(300));
    assert_eq!(running(&fleet), 1, "the others wait");
    drop(queued);
    assert!(first.read_until("[DONE]"));
    thread::sleep(Duration::from_millis(1_000));
    let prompts = fleet.engines[0].prompts();
    let ran = prompts.keys().filter(|prompt| prompt.contains("queued"));
    assert_eq!(ran.count(), 0, "{prompts:?}");
}

/// Accepts one connection, and returns when it ended.
fn end_of_call(listener: &TcpListener) -> Instant {
    let (mut connection, _) = listener.accept().expect("the call comes");
    let mut part = [0; 4_096];
    while connection.read(&mut part).is_ok_and(|read| read > 0) {}
    Instant::now()
}

/// Guards against a service that works on a call which may be repeated, for a caller that has
/// left.
#[test]
fn a_caller_of_a_service_that_leaves_ends_the_call() {
    let fleet = fleet(1, 8);
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    let record = json!({
        "schema": 1,
        "address": listener.local_addr().expect("it has an address"),
        "failure_domain": "a",
        "role": { "service": { "service": "lookups", "repeatable": true } },
    });
    fleet.platform.put("upstream", "lookups-0", record);
    thread::sleep(Duration::from_millis(1_500));
    let call = thread::spawn(move || end_of_call(&listener));
    let mut caller = RawCaller::connect(fleet.routers[0].address());
    let text = format!(
        "GET /v1/services/lookups/x HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {}\r\n\r\n",
        Fleet::KEY
    );
    assert!(caller.send(text.as_bytes()));
    thread::sleep(Duration::from_millis(500));
    assert!(!call.is_finished(), "the service works");
    let left_at = Instant::now();
    drop(caller);
    thread::sleep(Duration::from_millis(1_000));
    assert!(call.is_finished(), "the call goes on");
    let ended_at = call.join().expect("the service ends");
    assert!(ended_at <= left_at + MAX_WORK_TIME);
}
