//! Answers whose head is broken, as the clients of the router read them.

use {
    mangowalk_core::{
        edge::{EngineEvents, Engines, Platform, PlatformError, SendError, ServiceCall, Services},
        engine::{GenerateRequest, Order},
        platform::{ObjectKey, Precondition},
    },
    mangowalk_http_client::{HttpCall, send},
    mangowalk_platform_standins::{
        AMBIGUOUS_FRAMINGS, BrokenHead, INVALID_FIELDS, INVALID_STATUSES, UNKNOWN_STATUSES,
    },
    mangowalk_standins::{End, outcome_of_answer},
    mangowalkd::edge::{HttpEngines, HttpPlatform, HttpServices, Traffic},
    serde_json::json,
    std::{fmt::Debug, net::SocketAddr, sync::Arc},
};

/// Time for which a call waits for its answer.
const WAIT_MS: u64 = 2_000;

const ENDS: [End; 3] = [End::Closed, End::Reset, End::KeptOpen];

/// Plays each answer with each end of its connection to a client, and checks that it is lost.
fn check_client<T: Debug>(
    name: &str,
    heads: &[BrokenHead],
    call: impl Fn(SocketAddr) -> Result<T, SendError>,
) {
    let mut believed = Vec::new();
    for (head, end) in heads.iter().flat_map(|head| ENDS.map(|end| (head, end))) {
        let answer = head.answer("Content-Type: text/event-stream\r\n");
        let outcome = outcome_of_answer(&answer, end, &call);
        if !matches!(outcome, Err(SendError::Lost | SendError::Unreadable)) {
            let text = answer.escape_ascii();
            believed.push(format!("{end} {text}: {outcome:?}"));
        }
    }
    assert!(believed.is_empty(), "{name}: {believed:#?}");
}

fn check(heads: &[BrokenHead]) {
    check_client("service", heads, call_service);
    check_client("answer", heads, read_answer);
    check_client("stream", heads, read_stream);
    let engines = HttpEngines::new(Arc::<Traffic>::default());
    let order = Order {
        fencing: 7,
        model: "m".to_owned(),
        version: "v2".to_owned(),
    };
    check_client("order", heads, |address| engines.order(address, &order));
    check_client("report", heads, |address| engines.state(address));
}

fn call_service(address: SocketAddr) -> Result<String, SendError> {
    let call = ServiceCall {
        method: "POST",
        path: "/book",
        content_type: "application/json",
        team: "shop",
        request_id: "r1",
        idempotency_key: None,
        body: b"{}",
    };
    let reply = HttpServices.call(address, &call, WAIT_MS, &|| true)?;
    Ok(String::from_utf8_lossy(&reply.body).into_owned())
}

/// Calls a server as the operators' client does.
fn read_answer(address: SocketAddr) -> Result<(u16, Vec<u8>), SendError> {
    let answer = send(&address.to_string(), &HttpCall::default(), WAIT_MS)?;
    answer.read_whole(1 << 20)
}

fn read_stream(address: SocketAddr) -> Result<String, SendError> {
    let request = GenerateRequest {
        request_id: "r1".to_owned(),
        attempt: 1,
        cache_salt: String::new(),
        model: "m".to_owned(),
        version: "v1".to_owned(),
        incarnation: 1,
        prompt: "hello".to_owned(),
        max_tokens: 2,
        generated: Vec::new(),
        priority: 0,
    };
    let mut events = HttpEngines::new(Arc::<Traffic>::default()).generate(address, &request);
    let event = events.wait(WAIT_MS)?;
    Ok(format!("{event:?}"))
}

/// Guards against a body that is framed by one field of its head being forwarded as another
/// field frames it, or chunks of an unknown coding being forwarded as the body.
#[test]
fn answers_of_ambiguous_framing_are_lost() {
    check(&AMBIGUOUS_FRAMINGS);
}

/// Guards against a write to the platform being taken for refused, or for one that has taken
/// effect, after an answer of ambiguous framing.
#[test]
fn writes_with_answers_of_ambiguous_framing_are_lost() {
    let body = json!({ "version": 8 }).to_string();
    let fields = "Transfer-Encoding: chunked\r\nContent-Length: 3";
    for status in ["200 OK", "409 Conflict", "403 Forbidden"] {
        let chunks = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
        let answer = format!("HTTP/1.1 {status}\r\n{fields}\r\n\r\n{chunks}");
        let outcome = outcome_of_answer(answer.as_bytes(), End::Closed, |address| {
            let platform = HttpPlatform::new(address, Arc::<Traffic>::default());
            platform.put(
                &ObjectKey::new("config", "main"),
                Precondition::Any,
                &json!({}),
            )
        });
        let is_lost = matches!(outcome, Err(PlatformError::Lost));
        assert!(is_lost, "{status}: {outcome:?}");
    }
}

/// Guards against a head with an invalid length or a line that is no field being believed.
#[test]
fn answers_with_invalid_fields_are_lost() {
    check(&INVALID_FIELDS);
}

/// Guards against a status such as 000 being believed.
#[test]
fn answers_with_invalid_statuses_are_lost() {
    check(&INVALID_STATUSES);
}

/// Guards against a status of no known class being believed.
#[test]
fn answers_with_unknown_statuses_are_lost() {
    check(&UNKNOWN_STATUSES);
}
