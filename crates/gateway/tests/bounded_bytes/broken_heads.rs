use {
    super::{
        gateway::{Gateway, engine_entry, run},
        scripted_upstream::{Ending, Script, start_upstream},
    },
    http::Request,
    mangowalk_core::{
        routing::RetryPolicy,
        stream::{EndFinding, EndWitnessSettings},
    },
    mangowalk_gateway::{
        instance::GatewaySettings,
        store::{CallClient, CallError},
        upstreams::{ConnectionPool, SendError, confirm_end},
    },
    mangowalk_platform::{EngineReport, WeightsOrder, encode_order},
    mangowalk_platform_standins::{
        AMBIGUOUS_FRAMINGS, ANSWER_FIELDS, BrokenHead, INVALID_FIELDS, INVALID_STATUSES,
        UNKNOWN_STATUSES,
    },
    std::{fmt::Debug, rc::Rc},
};

/// ID of all requests.
const ID: &str = "7a";

/// Content of all sound answers, which is one event.
const SOUND: &str = "data: sound\n\n";

/// Timeout of calls.
const TIMEOUT_MS: u64 = 1_000;

/// Time in which a witness is searched, less than until a second call to an engine.
const WITNESS_WAIT_MS: u64 = 200;

const ENDINGS: [Ending; 3] = [Ending::InOrder, Ending::Reset, Ending::KeptOpen];

/// Returns fields of an answer of the first engine.
fn sound_fields() -> String {
    let fields = ANSWER_FIELDS.replace("{id}", ID);
    let fields = fields.replace("Instance-Id: e", "Instance-Id: e0");
    format!("{fields}Content-Type: text/event-stream\r\n")
}

fn sound_answer() -> String {
    let (fields, length) = (sound_fields(), SOUND.len());
    format!("HTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{SOUND}")
}

/// Plays each answer with each end of its connection, and checks that `play` finds what is
/// expected.
fn check_each<T: Debug + PartialEq>(
    heads: &[BrokenHead],
    expected: T,
    play: impl AsyncFn(Rc<Script>) -> T,
) {
    let mut unexpected = Vec::new();
    for head in heads {
        let answer = head.answer(&sound_fields());
        for ending in ENDINGS {
            let script = Script::new(ending, &sound_answer());
            script.send_next([&answer]);
            run(async || {
                let found = play(script).await;
                if found != expected {
                    let text = answer.escape_ascii();
                    unexpected.push(format!("{ending:?} {text}: {found:?}"));
                }
            });
        }
    }
    assert!(unexpected.is_empty(), "{expected:?}, not {unexpected:#?}");
}

/// What a caller gets, and how many requests the two engines of its service get.
#[derive(Debug, PartialEq)]
struct Outcome {
    status: u16,
    /// Complete body of an answer with status 200.
    body: Option<String>,
    requests: usize,
}

async fn ask(retry: RetryPolicy, script: Rc<Script>) -> Outcome {
    let addresses = [
        start_upstream(script.clone()).await,
        start_upstream(script.clone()).await,
    ];
    let gateway = Gateway::start(retry, &addresses, GatewaySettings::default()).await;
    let reply = gateway.ask(ID).await;
    Outcome {
        status: reply.status(),
        body: reply.body().filter(|_| reply.status() == 200),
        requests: script.requests.get(),
    }
}

/// Checks that requests whose first answer is broken are sent again where they may be, and
/// refused otherwise.
fn check_callers(heads: &[BrokenHead]) {
    for retry in [RetryPolicy::AtMostOnce, RetryPolicy::Stream] {
        let refused = Outcome {
            status: 502,
            body: None,
            requests: 1,
        };
        check_each(heads, refused, async |script| ask(retry, script).await);
    }
    for retry in [RetryPolicy::Idempotent, RetryPolicy::ResumableStream] {
        let sent_again = Outcome {
            status: 200,
            body: Some(SOUND.to_owned()),
            requests: 2,
        };
        check_each(heads, sent_again, async |script| ask(retry, script).await);
    }
}

/// Checks that a peer whose answer is broken counts as one that may have run the request.
fn check_peers(heads: &[BrokenHead]) {
    check_each(heads, "lost", async |script| {
        let address = start_upstream(script).await;
        let settings = GatewaySettings::default();
        let gateway = Gateway::start(RetryPolicy::Idempotent, &[], settings).await;
        match gateway.ask_peer(address, Request::default).await {
            Ok(_) => "answered",
            Err(SendError::Lost { .. }) => "lost",
            Err(_) => "other",
        }
    });
}

/// Checks that calls for reports, orders and calls to the store have no answer if it is broken,
/// and aren't made again.
fn check_calls(heads: &[BrokenHead]) {
    let order = WeightsOrder {
        engine: "e",
        model: "m",
        version: 2,
        cuts_off_running: false,
        holder: "i",
        fence: 1,
        accepted_before: 0,
    };
    for call in [EngineReport::call("e"), encode_order(&order)] {
        check_each(heads, ("lost", 1), async |script| {
            let address = start_upstream(script.clone()).await;
            let client = CallClient::new(address, TIMEOUT_MS);
            let result = match client.call(&call, TIMEOUT_MS).await {
                Ok(_) => "answered",
                Err(CallError::NoAnswer { .. }) => "lost",
                Err(_) => "other",
            };
            (result, script.requests.get())
        });
    }
}

/// Checks that a broken answer doesn't confirm the end of another one.
fn check_witnesses(heads: &[BrokenHead]) {
    check_each(heads, EndFinding::NoAnswer, async |script| {
        let address = start_upstream(script).await;
        let settings = GatewaySettings {
            end_witness: EndWitnessSettings {
                max_wait_ms: WITNESS_WAIT_MS,
                retry_ms: TIMEOUT_MS,
            },
            ..GatewaySettings::default()
        };
        let gateway = Gateway::start(RetryPolicy::Idempotent, &[address], settings).await;
        let pool = Rc::new(ConnectionPool::default());
        let entry = engine_entry(0, address);
        confirm_end(&gateway.instance, &pool, &entry, TIMEOUT_MS).await
    });
}

/// Guards against a body that is framed by one field of its head being forwarded as another
/// field frames it, or chunks of an unknown coding being forwarded as the body.
#[test]
fn answers_of_ambiguous_framing_are_lost() {
    check_callers(&AMBIGUOUS_FRAMINGS);
}

/// Guards against the same answers being believed when a peer sends them.
#[test]
fn peers_answers_of_ambiguous_framing_are_lost() {
    check_peers(&AMBIGUOUS_FRAMINGS);
}

/// Guards against the same answers being believed when the store sends them, or an engine to
/// a call for its report or to an order.
#[test]
fn answers_to_calls_of_ambiguous_framing_are_lost() {
    check_calls(&AMBIGUOUS_FRAMINGS);
}

/// Guards against the same answers confirming that an engine has ended an answer itself.
#[test]
fn answers_of_ambiguous_framing_are_no_witness() {
    check_witnesses(&AMBIGUOUS_FRAMINGS);
}

/// Guards against a head with an invalid length or a line that is no field reaching callers,
/// or any other reader believing it.
#[test]
fn answers_with_invalid_fields_are_lost() {
    check_callers(&INVALID_FIELDS);
    check_peers(&INVALID_FIELDS);
    check_calls(&INVALID_FIELDS);
    check_witnesses(&INVALID_FIELDS);
}

/// Guards against a status such as 000 reaching callers, or any other reader believing it.
#[test]
fn answers_with_invalid_statuses_are_lost() {
    check_callers(&INVALID_STATUSES);
    check_peers(&INVALID_STATUSES);
    check_calls(&INVALID_STATUSES);
    check_witnesses(&INVALID_STATUSES);
}

/// Guards against a status of no known class reaching callers as an answer, or any other reader
/// believing it.
#[test]
fn answers_with_unknown_statuses_are_lost() {
    check_callers(&UNKNOWN_STATUSES);
    check_peers(&UNKNOWN_STATUSES);
    check_calls(&UNKNOWN_STATUSES);
    check_witnesses(&UNKNOWN_STATUSES);
}
