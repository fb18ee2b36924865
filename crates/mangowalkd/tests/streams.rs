//! Streams reach their callers complete and in order, or visibly incomplete.

use {
    mangowalk_standins::{
        Answer, EngineFaults, EngineSettings, EngineStandIn, Fleet, FleetSettings, RawCaller,
    },
    serde_json::json,
    std::{thread, time::Duration},
};

/// Polls of a condition that must become true.
const MAX_POLLS: u32 = 500;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

const TOKENS: u32 = 20;

fn fleet(engines: usize, args: &[&str]) -> Fleet {
    let fleet = Fleet::start(&FleetSettings {
        program: env!("CARGO_BIN_EXE_mangowalkd").to_owned(),
        engines,
        router_args: args.iter().map(|a| (*a).to_owned()).collect(),
        ..FleetSettings::default()
    });
    fleet.wait_until_served();
    fleet
}

/// Polls a condition and returns whether it became true in time.
fn becomes_true(condition: impl Fn() -> bool) -> bool {
    (0..MAX_POLLS).any(|_| {
        let holds = condition();
        if !holds {
            thread::sleep(POLL_INTERVAL);
        }
        holds
    })
}

/// Sends a request whose stream the test reads byte by byte.
fn open_stream(fleet: &Fleet, prompt: &str) -> RawCaller {
    open_stream_with_tokens(fleet, prompt, TOKENS)
}

fn open_stream_with_tokens(fleet: &Fleet, prompt: &str, tokens: u32) -> RawCaller {
    let body = json!({
        "model": "drafting",
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": tokens,
        "stream": true,
        "stream_options": { "include_usage": true },
    })
    .to_string();
    let mut caller = RawCaller::connect(fleet.routers[0].address());
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {}\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        Fleet::KEY,
        body.len()
    );
    assert!(caller.send(head.as_bytes()));
    caller
}

fn assert_complete(answer: &Answer, prompt: &str) {
    let expected = Fleet::expected(prompt, u64::from(TOKENS));
    assert_eq!(answer.streamed_text(), expected, "{}", answer.body);
    assert!(answer.is_done() && answer.ended, "{}", answer.body);
}

/// Sends several streamed and not streamed requests, so that each engine gets
/// some, and checks that every answer is complete.
fn assert_all_complete(fleet: &Fleet) {
    for i in 0..6 {
        let prompt = format!("order {i}");
        assert_complete(&fleet.chat(0, &prompt, TOKENS, true), &prompt);
        let answer = fleet.chat(0, &prompt, TOKENS, false);
        let expected = Fleet::expected(&prompt, u64::from(TOKENS));
        assert_eq!(answer.text(), expected, "{}", answer.body);
        assert_eq!(answer.json()["usage"]["completion_tokens"], TOKENS);
    }
}

/// The engine writes one token and pauses. The caller must receive that token
/// before the second is generated: a buffer that holds tokens until more arrive
/// would block this test.
#[test]
fn the_first_token_arrives_before_the_second_is_generated() {
    let fleet = fleet(1, &[]);
    fleet.engines[0].set_faults(EngineFaults {
        freeze_after_tokens: Some(1),
        ..EngineFaults::default()
    });
    let mut caller = open_stream(&fleet, "counter");
    let prompt = "<|user|>\ncounter\n<|assistant|>\n";
    assert!(caller.read_until(&EngineStandIn::answer_to(prompt, 1)));
    assert!(!caller.text().contains("w1x"), "{}", caller.text());
    fleet.engines[0].set_faults(EngineFaults::default());
    assert!(caller.read_until("data: [DONE]"), "{}", caller.text());
}

/// An engine stops sending in the middle of an answer, without an error. After
/// the timeout, the caller gets the rest from the other engine, and the attempt
/// on the stalled one is cancelled.
#[test]
fn a_stream_resumes_elsewhere_when_its_engine_stalls() {
    let fleet = fleet(2, &["--token-timeout-ms=300"]);
    fleet.engines[0].set_faults(EngineFaults {
        freeze_after_tokens: Some(3),
        ..EngineFaults::default()
    });
    assert_all_complete(&fleet);
    assert!(fleet.engines[0].attempts() > 0);
    assert!(becomes_true(|| fleet.engines[0].state().load.running == 0));
}

/// Guards against an answer whose parts engines with two versions of their program wrote.
#[test]
fn a_stream_resumes_only_at_the_software_version_that_began_it() {
    let fleet = fleet(2, &["--token-timeout-ms=300"]);
    fleet.engines[1].restart_with("2");
    fleet.wait_until_served();
    // The router polls the state of engines several times a second.
    thread::sleep(Duration::from_millis(1_500));
    fleet.engines[0].set_faults(EngineFaults {
        freeze_after_tokens: Some(3),
        ..EngineFaults::default()
    });
    for n in 0..6 {
        fleet.chat(0, &format!("order {n}"), TOKENS, true);
    }
    assert!(fleet.engines[0].attempts() > 0);
    assert_eq!(fleet.engines[1].resumed(), 0);
}

/// An engine accepts requests and writes nothing. The first token has its own
/// timeout, which by default is longer than the one between tokens.
#[test]
fn a_request_without_a_first_token_moves_to_another_engine() {
    let fleet = fleet(2, &["--first-token-timeout-ms=300"]);
    fleet.engines[0].set_faults(EngineFaults {
        freeze_after_tokens: Some(0),
        ..EngineFaults::default()
    });
    assert_all_complete(&fleet);
}

/// The engines send each token twice, once with the number of another attempt.
/// Only the one of the current attempt reaches the caller.
#[test]
fn tokens_of_another_attempt_are_dropped() {
    let fleet = fleet(2, &[]);
    for engine in &fleet.engines {
        engine.set_faults(EngineFaults {
            cross_answers: true,
            ..EngineFaults::default()
        });
    }
    assert_all_complete(&fleet);
}

/// An engine skips a token. The caller gets it from the other engine, at the
/// right position.
#[test]
fn a_skipped_token_is_generated_elsewhere() {
    let fleet = fleet(2, &[]);
    fleet.engines[0].set_faults(EngineFaults {
        skip_token: Some(4),
        ..EngineFaults::default()
    });
    assert_all_complete(&fleet);
}

/// An engine closes its stream cleanly but without the final event, as a proxy
/// or a stopping process does. The router treats that as an interrupted stream.
#[test]
fn a_stream_that_ends_early_is_resumed() {
    let fleet = fleet(2, &[]);
    fleet.engines[0].set_faults(EngineFaults {
        cut_after_tokens: Some(5),
        ..EngineFaults::default()
    });
    assert_all_complete(&fleet);
}

/// The only engine interrupts every stream, so the stream can't resume. The
/// caller gets five tokens and an error event, but no finish reason and no
/// `[DONE]`.
#[test]
fn an_interrupted_stream_never_looks_complete() {
    let fleet = fleet(1, &["--token-timeout-ms=300"]);
    fleet.engines[0].set_faults(EngineFaults {
        cut_after_tokens: Some(5),
        ..EngineFaults::default()
    });
    let answer = fleet.chat(0, "cut", TOKENS, true);
    assert_eq!(answer.streamed_text(), Fleet::expected("cut", 5));
    assert!(!answer.is_done(), "{}", answer.body);
    let events = answer.events();
    let reasons = events.iter().map(|e| &e["choices"][0]["finish_reason"]);
    assert!(reasons.into_iter().all(|reason| reason.is_null()));
    assert_eq!(
        events.last().expect("the stream has an event")["error"]["outcome"],
        "ran"
    );
}

/// The only engine crashes after five tokens and restarts with an empty cache.
/// The stream waits for it and resumes. Usage counts each token once.
#[test]
fn a_stream_waits_for_its_engine_to_restart() {
    let fleet = fleet(1, &["--token-timeout-ms=20000"]);
    fleet.engines[0].set_faults(EngineFaults {
        crash_after_tokens: Some(5),
        ..EngineFaults::default()
    });
    let mut caller = open_stream(&fleet, "back");
    assert!(becomes_true(|| fleet.engines[0].crashes() == 1));
    fleet.engines[0].set_faults(EngineFaults::default());
    fleet.engines[0].restart();
    assert!(caller.read_until("data: [DONE]"), "{}", caller.text());
    let text = caller.text();
    let expected = Fleet::expected("back", u64::from(TOKENS));
    for token in expected.split_inclusive(' ') {
        assert_eq!(text.matches(token).count(), 1, "{token} in {text}");
    }
    assert!(text.contains("\"completion_tokens\":20"), "{text}");
}

/// The answer takes longer than the request timeout. A shutdown waits no longer
/// than that timeout, so the stream ends, visibly incomplete, and frees its
/// engine.
#[test]
fn a_stream_over_the_request_timeout_is_cut_off() {
    let fleet = Fleet::start(&FleetSettings {
        program: env!("CARGO_BIN_EXE_mangowalkd").to_owned(),
        engines: 1,
        engine: EngineSettings {
            token_us: 100_000,
            ..EngineSettings::default()
        },
        router_args: ["request", "token", "first-token"]
            .map(|name| format!("--{name}-timeout-ms=1000"))
            .to_vec(),
        ..FleetSettings::default()
    });
    fleet.wait_until_served();
    let answer = fleet.chat(0, "long", 200, true);
    assert!(!answer.is_done(), "{}", answer.body);
    assert!(
        answer
            .streamed_text()
            .starts_with(&Fleet::expected("long", 2))
    );
    assert!(
        answer.body.contains("\"outcome\":\"ran\""),
        "{}",
        answer.body
    );
    assert!(becomes_true(|| fleet.engines[0].state().load.running == 0));
}

/// The caller disconnects while the engine sends nothing between two tokens. No
/// write of a token can fail, so only the keepalive comments can detect it. The
/// attempt on the engine must end.
#[test]
fn a_disconnected_caller_frees_a_stalled_engine() {
    let fleet = fleet(1, &["--token-timeout-ms=60000"]);
    fleet.engines[0].set_faults(EngineFaults {
        freeze_after_tokens: Some(1),
        ..EngineFaults::default()
    });
    let mut caller = open_stream(&fleet, "gone");
    assert!(caller.read_until("w0x"));
    assert_eq!(fleet.engines[0].state().load.running, 1);
    drop(caller);
    assert!(becomes_true(|| fleet.engines[0].state().load.running == 0));
}

/// The caller stays connected but stops reading, while the engine writes more
/// than the socket buffers hold. The write times out and the attempt on the
/// engine ends. Otherwise the caller could occupy a slot of the engine's batch
/// indefinitely.
#[test]
fn a_caller_that_stops_reading_frees_its_engine() {
    let fleet = fleet(1, &["--caller-timeout-ms=400"]);
    fleet.engines[0].set_faults(EngineFaults {
        pad_bytes: 200_000,
        ..EngineFaults::default()
    });
    let mut caller = open_stream_with_tokens(&fleet, "stopped", 200);
    assert!(caller.read_until("w0x"));
    assert!(becomes_true(|| fleet.engines[0].state().load.running == 0));
    fleet.engines[0].set_faults(EngineFaults::default());
    assert!(!caller.read_to_end().contains("[DONE]"));
}

/// The engine restarted, and the router still knows its old incarnation, so the
/// engine refuses. The router reads its state again and serves the request. If
/// it polled the engine while that was down, it refuses the request as not run.
#[test]
fn requests_are_served_after_an_engine_restart() {
    let fleet = fleet(1, &[]);
    for i in 0..4 {
        fleet.engines[0].crash();
        fleet.engines[0].restart();
        let prompt = format!("again {i}");
        let served = becomes_true(|| {
            let answer = fleet.chat(0, &prompt, TOKENS, true);
            let is_refused = answer.header("x-mangowalk-outcome") == Some("not_run");
            if !is_refused {
                assert_complete(&answer, &prompt);
            }
            !is_refused
        });
        assert!(served);
    }
}

/// One engine refuses every request as meant for another incarnation. It is
/// healthy, so its circuit breaker stays closed, it still gets requests, and no
/// request fails.
#[test]
fn a_stale_refusal_does_not_open_the_breaker() {
    let fleet = fleet(2, &[]);
    fleet.engines[0].set_faults(EngineFaults {
        refuse_status: Some(409),
        ..EngineFaults::default()
    });
    let before = fleet.engines[0].attempts();
    for _ in 0..3 {
        assert_all_complete(&fleet);
    }
    let attempts = fleet.engines[0].attempts() - before;
    assert!(attempts > 6, "{attempts}");
}
