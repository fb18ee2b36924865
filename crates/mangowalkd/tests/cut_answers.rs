//! Answers whose connection ends after each of their bytes, as the clients of the router read
//! them.

use {
    mangowalk_core::{
        edge::{EngineEvents, Engines, Platform, ServiceCall, Services},
        engine::{GenerateRequest, Order},
        platform::{ObjectKey, Precondition},
    },
    mangowalk_standins::{End, outcomes_of_cuts},
    mangowalkd::edge::{HttpEngines, HttpPlatform, HttpServices, Traffic},
    serde_json::json,
    std::{fmt::Debug, net::SocketAddr, sync::Arc},
};

/// Time for which a call waits for its answer.
const WAIT_MS: u64 = 2_000;

/// Appends the outcomes of an answer's cuts to a table.
fn add(table: &mut String, name: &str, answer: &str, mut call: impl FnMut(SocketAddr) -> String) {
    *table += &format!("{name}, {} bytes\n", answer.len());
    *table += &outcomes_of_cuts(answer.as_bytes(), |address, _| call(address));
}

/// Returns an answer with a declared length.
fn with_length(status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Returns an answer in two chunks.
fn in_chunks(status: &str, body: &str) -> String {
    let (first, second) = body.split_at(body.len() / 2);
    let chunk = |part: &str| format!("{:x}\r\n{part}\r\n", part.len());
    let head = format!("HTTP/1.1 {status}\r\nTransfer-Encoding: chunked\r\n\r\n");
    format!("{head}{}{}0\r\n\r\n", chunk(first), chunk(second))
}

fn text_of<T: Debug, E: Debug>(result: Result<T, E>) -> String {
    match result {
        Ok(value) => format!("{value:?}"),
        Err(error) => format!("{error:?}"),
    }
}

fn call_service(address: SocketAddr) -> String {
    let call = ServiceCall {
        method: "POST",
        path: "/book",
        content_type: "application/json",
        team: "shop",
        request_id: "r1",
        idempotency_key: Some("k1"),
        body: b"{}",
    };
    match HttpServices.call(address, &call, WAIT_MS, &|| true) {
        Ok(reply) => format!("{} {}", reply.status, String::from_utf8_lossy(&reply.body)),
        Err(error) => format!("{error:?}"),
    }
}

/// Guards against a service's answer that breaks off reaching its caller as a complete one.
#[test]
fn cut_answers_of_services_are_lost() {
    let mut table = String::new();
    for (name, answer) in [
        ("length", with_length("200 OK", "booked")),
        ("chunks", in_chunks("200 OK", "booked")),
        ("refusal", with_length("503 Service Unavailable", "full")),
    ] {
        add(&mut table, name, &answer, call_service);
    }
    insta::assert_snapshot!(table);
}

/// Returns the end of a stream and, where no reset may overtake them, the number of its events.
fn read_stream(address: SocketAddr, end: End) -> String {
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
    let mut received = 0;
    let error = loop {
        match events.wait(WAIT_MS) {
            Ok(Some(_)) => received += 1,
            Ok(None) => return "silent".to_owned(),
            Err(error) => break error,
        }
    };
    match end {
        End::Closed => format!("{received} events, {error:?}"),
        End::Reset | End::KeptOpen => format!("{error:?}"),
    }
}

/// Guards against an answer that breaks off being taken for a refusal, after which the request
/// would run again elsewhere, and against events that are cut off being passed on.
#[test]
fn cut_streams_of_engines_are_lost() {
    let token = |index: u64| {
        let event = json!({
            "request_id": "r1", "attempt": 1, "type": "token", "index": index, "text": "a",
        });
        format!("data: {event}\n\n")
    };
    let events = token(0) + &token(1);
    let refusal =
        "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n";
    let mut table = String::new();
    for (name, answer) in [
        ("chunks", in_chunks("200 OK", &events)),
        ("length", with_length("200 OK", &events)),
        ("refusal", refusal.to_owned()),
    ] {
        table += &format!("{name}, {} bytes\n", answer.len());
        table += &outcomes_of_cuts(answer.as_bytes(), read_stream);
    }
    insta::assert_snapshot!(table);
}

/// Guards against a state, an order's result or cache events being taken from an answer that
/// breaks off, and against an order that may have taken effect being taken for refused.
#[test]
fn cut_answers_of_engines_are_lost() {
    let engines = HttpEngines::new(Arc::<Traffic>::default());
    let state = json!({
        "incarnation": 1, "model": "m", "version": "v1", "loading": false, "fencing": 7,
        "load": { "running": 0, "waiting": 0, "slots": 4 },
    });
    let state = state.to_string();
    let accepted = json!({ "type": "accepted" }).to_string();
    let events = json!({ "incarnation": 1, "first_sequence": 1, "changes": ["cleared"] });
    let order = Order {
        fencing: 7,
        model: "m".to_owned(),
        version: "v2".to_owned(),
    };
    let call = |address| text_of(engines.state(address).map(|state| state.fencing));
    let mut table = String::new();
    add(&mut table, "state", &in_chunks("200 OK", &state), call);
    add(&mut table, "state", &with_length("200 OK", &state), call);
    let call = |address| text_of(engines.order(address, &order));
    add(&mut table, "order", &in_chunks("200 OK", &accepted), call);
    add(&mut table, "order", &with_length("200 OK", &accepted), call);
    let call = |address| text_of(engines.cache_events(address, 1).map(|e| e.changes));
    add(
        &mut table,
        "events",
        &in_chunks("200 OK", &events.to_string()),
        call,
    );
    insta::assert_snapshot!(table);
}

/// Guards against a write that may have taken effect being taken for refused, and against
/// records being taken for deleted or read from an answer that breaks off.
#[test]
fn cut_answers_of_the_platform_are_lost() {
    let key = ObjectKey::new("config", "main");
    let client = |address| HttpPlatform::new(address, Arc::<Traffic>::default());
    let object = json!({ "kind": "config", "name": "main", "version": 7, "body": {} });
    let object = object.to_string();
    let written = json!({ "version": 8 }).to_string();
    let list = json!({ "revision": 7, "objects": [] }).to_string();
    let watch = json!({ "revision": 7, "changes": [] }).to_string();
    let mut table = String::new();
    let call = |address| text_of(client(address).get(&key).map(|o| o.map(|o| o.version)));
    add(&mut table, "get", &in_chunks("200 OK", &object), call);
    add(
        &mut table,
        "get none",
        &with_length("404 Not Found", "{}"),
        call,
    );
    let call = |address| text_of(client(address).put(&key, Precondition::Any, &json!({})));
    add(&mut table, "put", &with_length("200 OK", &written), call);
    add(
        &mut table,
        "put conflict",
        &in_chunks("409 Conflict", &written),
        call,
    );
    add(
        &mut table,
        "put refused",
        &with_length("403 Forbidden", "{}"),
        call,
    );
    let call = |address| text_of(client(address).delete(&key, Precondition::Version(7)));
    add(&mut table, "delete", &in_chunks("200 OK", &written), call);
    let call = |address| text_of(client(address).list(&["config"]).map(|l| l.revision));
    add(&mut table, "list", &in_chunks("200 OK", &list), call);
    let call = |address| text_of(client(address).watch(&["config"], 1, 0).map(|w| w.revision));
    add(&mut table, "watch", &in_chunks("200 OK", &watch), call);
    insta::assert_snapshot!(table);
}
