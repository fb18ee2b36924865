//! The OpenAI-compatible protocol towards callers.

use {
    mangowalk_standins::{Answer, Fleet, FleetSettings},
    serde_json::{Value, json},
};

fn fleet() -> Fleet {
    let fleet = Fleet::start(&FleetSettings {
        program: env!("CARGO_BIN_EXE_mangowalkd").to_owned(),
        engines: 1,
        ..FleetSettings::default()
    });
    fleet.wait_until_served();
    fleet
}

fn post(fleet: &Fleet, path: &str, headers: &[(&str, &str)], body: &Value) -> Answer {
    let bearer = format!("Bearer {}", Fleet::KEY);
    let mut all = vec![("Authorization", bearer.as_str())];
    all.extend(headers);
    let address = fleet.routers[0].address();
    Answer::post(address, path, &all, &body.to_string())
}

fn get(fleet: &Fleet, path: &str) -> Answer {
    let bearer = format!("Bearer {}", Fleet::KEY);
    let address = fleet.routers[0].address();
    Answer::get(address, path, &[("Authorization", &bearer)])
}

/// Replaces the fields that differ from run to run.
fn without_varying_fields(mut body: Value) -> String {
    for field in ["id", "created"] {
        if !body[field].is_null() {
            body[field] = json!("*");
        }
    }
    serde_json::to_string_pretty(&body).expect("the body is serialized")
}

fn chat(content: Value, more: Value) -> Value {
    let mut body = json!({
        "model": "drafting",
        "messages": [{ "role": "user", "content": content }],
        "max_tokens": 3,
    });
    for (name, value) in more.as_object().into_iter().flatten() {
        body[name] = value.clone();
    }
    body
}

#[test]
fn responses_match_the_protocol() {
    let fleet = fleet();
    let body = chat(json!("hello"), json!({}));
    let answer = post(&fleet, "/v1/chat/completions", &[], &body);
    insta::assert_snapshot!("chat", without_varying_fields(answer.json()));
    let prompt = json!({ "model": "drafting", "prompt": ["hello"], "max_tokens": 3 });
    let answer = post(&fleet, "/v1/completions", &[], &prompt);
    insta::assert_snapshot!("completion", without_varying_fields(answer.json()));
    insta::assert_snapshot!(
        "models",
        without_varying_fields(get(&fleet, "/v1/models").json())
    );
    insta::assert_snapshot!("model", get(&fleet, "/v1/models/drafting").body);
    insta::assert_snapshot!("no_model", get(&fleet, "/v1/models/none").body);
    insta::assert_snapshot!("no_path", get(&fleet, "/v1/chat/completions").body);
}

#[test]
fn stream_events_match_the_protocol() {
    let fleet = fleet();
    let options = json!({ "stream": true, "stream_options": { "include_usage": true } });
    let body = chat(json!("hello"), options);
    let answer = post(&fleet, "/v1/chat/completions", &[], &body);
    let events: Vec<String> = answer
        .events()
        .into_iter()
        .map(without_varying_fields)
        .collect();
    insta::assert_snapshot!("stream", events.join("\n"));
    assert_eq!(answer.header("content-type"), Some("text/event-stream"));
}

#[test]
fn text_parts_of_a_message_are_joined() {
    let fleet = fleet();
    let parts = json!([{ "type": "text", "text": "hel" }, { "type": "text", "text": "lo" }]);
    let answer = post(&fleet, "/v1/chat/completions", &[], &chat(parts, json!({})));
    assert_eq!(answer.text(), Fleet::expected("hello", 3));
}

/// Engines have no field for a temperature. A response header says that it was
/// ignored; the caller would otherwise assume that it was applied.
#[test]
fn ignored_parameters_are_named_in_the_response() {
    let fleet = fleet();
    let more = json!({ "temperature": 0.2, "user": "desk-1", "n": 1, "stop": null });
    let body = chat(json!("hello"), more);
    let answer = post(&fleet, "/v1/chat/completions", &[], &body);
    assert_eq!(answer.status, 200, "{}", answer.body);
    let ignored = answer.header("x-mangowalk-passed-over");
    assert_eq!(ignored, Some("temperature"));
}

#[test]
fn only_a_valid_request_id_is_echoed() {
    let fleet = fleet();
    let body = chat(json!("hello"), json!({}));
    let path = "/v1/chat/completions";
    let valid = post(&fleet, path, &[("x-request-id", "desk-17.a")], &body);
    assert_eq!(valid.header("x-request-id"), Some("desk-17.a"));
    let long = "a".repeat(65);
    for id in ["a b", "", long.as_str()] {
        let answer = post(&fleet, path, &[("x-request-id", id)], &body);
        let given = answer
            .header("x-request-id")
            .expect("the response has a request ID");
        assert!(given.starts_with("req-"), "{given}");
    }
}

#[test]
fn an_invalid_deadline_is_refused() {
    let fleet = fleet();
    let body = chat(json!("hello"), json!({}));
    for (deadline, status) in [("30000", 200), ("0", 400), ("-1", 400), ("soon", 400)] {
        let headers = [("x-mangowalk-deadline-ms", deadline)];
        let answer = post(&fleet, "/v1/chat/completions", &headers, &body);
        assert_eq!(answer.status, status, "{deadline}: {}", answer.body);
    }
}

#[test]
fn responses_carry_the_teams_rate() {
    let fleet = fleet();
    let body = chat(json!("hello"), json!({ "stream": true }));
    let answer = post(&fleet, "/v1/chat/completions", &[], &body);
    let limit = answer.header("x-ratelimit-limit-tokens");
    assert_eq!(limit, Some("1000000"));
    let remaining = answer.header("x-ratelimit-remaining-tokens");
    let remaining: u64 = remaining
        .and_then(|r| r.parse().ok())
        .expect("the remaining tokens are a number");
    assert!((1..1_000_000).contains(&remaining), "{remaining}");
    let reset = answer
        .header("x-ratelimit-reset-tokens")
        .expect("the response has a reset time");
    assert!(reset.ends_with("ms"), "{reset}");
}

/// The error of a service can look like one of the router's. A header names the
/// source, because only the router's errors report whether the call ran.
#[test]
fn a_response_names_its_source() {
    let fleet = fleet();
    let path = "/v1/services/orders/book";
    let headers = [("Idempotency-Key", "order-9")];
    let served = post(&fleet, path, &headers, &json!({}));
    assert_eq!(served.header("x-mangowalk-source"), Some("service"));
    let refused = post(&fleet, "/v1/services/none/book", &headers, &json!({}));
    assert_eq!(refused.header("x-mangowalk-source"), Some("router"));
}

/// Callers send their key as the bearer token and as the request ID, in a
/// request for generated text, in a call of a service and to an unknown path,
/// also in requests that fail. It must not appear in a request to an engine or
/// a service, in the log or in an error.
#[test]
fn an_api_key_is_never_forwarded_or_logged() {
    let fleet = fleet();
    let body = chat(json!("hello"), json!({ "stream": true }));
    let mut responses = String::new();
    for path in ["/v1/chat/completions", "/v1/services/orders/book", "/none"] {
        let headers = [("Idempotency-Key", "order-1"), ("x-request-id", Fleet::KEY)];
        responses += &post(&fleet, path, &headers, &body).body;
        responses += &post(&fleet, path, &[], &json!("broken")).body;
    }
    let sent = fleet.engines[0].headers().into_iter();
    let sent = sent.chain(fleet.service.headers());
    let sent: Vec<String> = sent
        .map(|(name, value)| format!("{name}: {value}"))
        .collect();
    assert!(!sent.is_empty());
    assert!(!sent.join("\n").contains(Fleet::KEY));
    assert!(!sent.iter().any(|line| line.starts_with("authorization")));
    assert!(!responses.contains(Fleet::KEY));
    assert!(!fleet.routers[0].log().contains(Fleet::KEY));
}
