//! Invalid input gets a protocol error, and the router keeps serving.

use {
    mangowalk_standins::{Answer, Fleet, FleetSettings, RawCaller},
    std::{fmt::Write, io::Write as _, net::TcpStream, thread, time::Duration},
};

/// Pause between two bytes of a slow caller, below the read timeout.
const SLOW_PAUSE: Duration = Duration::from_millis(100);

/// Time after which a request without an answer counts as admitted.
const REFUSED_WITHIN: Duration = Duration::from_millis(400);

/// Maximum number of requests that are opened until one is admitted.
const MAX_OPEN_TRIES: usize = 20;

/// Bytes by which a head without an end has to be refused, with the buffers of the operating
/// system.
const MAX_HEAD_BYTES: usize = 16 << 20;

fn start_fleet(args: &[&str]) -> Fleet {
    let fleet = Fleet::start(&FleetSettings {
        program: env!("CARGO_BIN_EXE_mangowalkd").to_owned(),
        engines: 1,
        router_args: args.iter().map(|a| (*a).to_owned()).collect(),
        ..FleetSettings::default()
    });
    fleet.wait_until_served();
    fleet
}

fn post(fleet: &Fleet, path: &str, body: &str) -> Answer {
    let bearer = format!("Bearer {}", Fleet::KEY);
    let address = fleet.routers[0].address();
    Answer::post(address, path, &[("Authorization", &bearer)], body)
}

/// Sends a request head with a valid key and the given header lines, followed
/// by a body.
fn send_raw(fleet: &Fleet, lines: &str, body: &str) -> RawCaller {
    let mut caller = RawCaller::connect(fleet.routers[0].address());
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {}\r\n{lines}\r\n\r\n",
        Fleet::KEY
    );
    caller.send(head.as_bytes());
    caller.send(body.as_bytes());
    caller
}

/// Opens a request that is admitted, and leaves its body unfinished.
///
/// A request counts as open until its thread has ended, a moment after its caller has
/// the answer, so the next one may be refused.
fn leave_open(fleet: &Fleet) -> RawCaller {
    for _ in 0..MAX_OPEN_TRIES {
        let mut caller = send_raw(fleet, "Content-Length: 2000", "{");
        if !caller.receives_within(REFUSED_WITHIN) {
            return caller;
        }
        assert!(caller.read_until("HTTP/1.1 503"), "{}", caller.text());
    }
    panic!("no request was admitted");
}

fn assert_still_serves(fleet: &Fleet) {
    let answer = fleet.chat(0, "still", 3, false);
    assert_eq!(
        answer.text(),
        Fleet::expected("still", 3),
        "{}",
        answer.body
    );
}

/// Each invalid or unsupported body is refused with the outcome `not_run` and an
/// error that says what to correct. It does not reach an engine.
#[test]
fn a_bad_body_is_refused_with_its_remedy() {
    let fleet = start_fleet(&[]);
    let before = fleet.engines[0].attempts();
    let (open, close) = ("[".repeat(100_000), "]".repeat(100_000));
    let deep = format!(r#"{{"model":"drafting","messages":{open}{close}}}"#);
    let message = r#""messages":[{"role":"user","content":"a"}]"#;
    let bodies = [
        ("malformed", "{\"model\":".to_owned()),
        ("no object", "[]".to_owned()),
        ("deep nesting", deep),
        ("no model", format!("{{{message}}}")),
        ("unknown model", format!(r#"{{"model":"none",{message}}}"#)),
        (
            "no messages",
            r#"{"model":"drafting","messages":[]}"#.to_owned(),
        ),
        (
            "tool role",
            r#"{"model":"drafting","messages":[{"role":"tool","content":"a"}]}"#.to_owned(),
        ),
        (
            "image part",
            r#"{"model":"drafting","messages":[{"role":"user","content":[{"type":"image_url"}]}]}"#
                .to_owned(),
        ),
    ];
    let fields = [
        r#""max_tokens":-1"#,
        r#""max_tokens":0"#,
        r#""max_tokens":1.5"#,
        r#""max_tokens":99999999999999999999"#,
        r#""max_tokens":4294967295"#,
        r#""temperature":-1"#,
        r#""n":2"#,
        r#""stop":["a"]"#,
        r#""tools":[{}]"#,
        r#""stream":"yes""#,
        r#""stream_options":[]"#,
        r#""surprise":1"#,
    ];
    let fields = fields.map(|f| (f, format!(r#"{{"model":"drafting",{message},{f}}}"#)));
    let mut responses = String::new();
    for (name, body) in bodies.into_iter().chain(fields) {
        let answer = post(&fleet, "/v1/chat/completions", &body);
        let error = &answer.json()["error"];
        let (code, text) = (&error["code"], &error["message"]);
        assert_eq!(error["outcome"], "not_run", "{name}: {}", answer.body);
        writeln!(responses, "{name}: {} {code} {text}", answer.status)
            .expect("the line is formatted");
    }
    insta::assert_snapshot!(responses);
    assert_eq!(fleet.engines[0].attempts(), before);
    assert_still_serves(&fleet);
}

#[test]
fn a_body_that_is_not_utf8_is_refused() {
    let fleet = start_fleet(&[]);
    let mut caller = send_raw(&fleet, "Connection: close\r\nContent-Length: 14", "");
    caller.send(b"{\"model\":\"\xff\xfe\"}");
    let text = caller.read_to_end();
    assert!(text.starts_with("HTTP/1.1 400"), "{text}");
    assert!(text.contains("invalid_request"), "{text}");
    assert_still_serves(&fleet);
}

#[test]
fn a_body_over_the_limit_is_refused() {
    let fleet = start_fleet(&["--max-body-bytes=2000"]);
    let answer = post(&fleet, "/v1/chat/completions", &"a".repeat(3_000));
    assert_eq!(answer.status, 413);
    assert_eq!(answer.json()["error"]["code"], "body_too_large");
    let chunked = format!("bb8\r\n{}\r\n0\r\n\r\n", "a".repeat(3_000));
    let text = send_raw(&fleet, "Transfer-Encoding: chunked", &chunked).read_to_end();
    assert!(text.starts_with("HTTP/1.1 413"), "{text}");
    assert_still_serves(&fleet);
}

/// A caller declares a body that is larger than any memory. If the HTTP server
/// discarded the body, it would allocate memory for the declared length. That
/// would abort the process and every stream in it.
#[test]
fn a_huge_content_length_does_not_crash_the_process() {
    let fleet = start_fleet(&[]);
    for length in ["99999999999999", "9223372036854775807"] {
        let mut caller = send_raw(&fleet, &format!("Content-Length: {length}"), "{}");
        assert!(caller.read_until("HTTP/1.1 413"), "{}", caller.text());
    }
    assert_still_serves(&fleet);
}

/// The head of a request leaves the length of its body ambiguous, and the body
/// contains a second request (request smuggling). The first request is refused
/// and the second is never served.
#[test]
fn a_request_smuggled_behind_an_ambiguous_length_is_not_served() {
    let fleet = start_fleet(&[]);
    let smuggled = format!(
        "GET /v1/models HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {}\r\nConnection: close\r\n\r\n",
        Fleet::KEY
    );
    let ambiguous = [
        "Content-Length: 5\r\nTransfer-Encoding: chunked",
        "Content-Length: 5\r\nContent-Length: 6",
        "Content-Length: +5",
        "Content-Length: 5, 6",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity",
        "Connection: upgrade\r\nContent-Length: 5",
    ];
    for lines in ambiguous {
        let text = send_raw(&fleet, lines, &format!("0\r\n\r\n{smuggled}")).read_to_end();
        assert!(text.starts_with("HTTP/1.1 400"), "{lines}: {text}");
        assert!(text.contains("\"not_run\""), "{lines}: {text}");
        assert!(!text.contains("\"data\""), "{lines}: {text}");
    }
    assert_still_serves(&fleet);
}

/// HTTP/1.0 has no chunked encoding, so a caller could not tell a complete
/// stream from an interrupted one. A stream is refused, a response without
/// streaming is served.
#[test]
fn a_stream_over_http_1_0_is_refused() {
    let fleet = start_fleet(&[]);
    for (stream, status) in [(true, "400"), (false, "200")] {
        let body = format!(r#"{{"model":"drafting","prompt":"a","stream":{stream}}}"#);
        let mut caller = RawCaller::connect(fleet.routers[0].address());
        let head = format!(
            "POST /v1/completions HTTP/1.0\r\nAuthorization: Bearer {}\r\nContent-Length: {}\r\n\r\n",
            Fleet::KEY,
            body.len()
        );
        caller.send(head.as_bytes());
        caller.send(body.as_bytes());
        let text = caller.read_to_end();
        assert!(text.contains(&format!(" {status} ")), "{text}");
    }
}

/// Callers stop sending in the middle of a head or a body. Their connections
/// time out, and meanwhile other callers are served.
#[test]
fn callers_that_stop_sending_are_timed_out() {
    let fleet = start_fleet(&["--caller-timeout-ms=400"]);
    let mut stopped_in_head = RawCaller::connect(fleet.routers[0].address());
    stopped_in_head.send(b"POST /v1/chat/completions HTTP/1.1\r\nHost:");
    let mut stopped_in_body = send_raw(&fleet, "Content-Length: 2000", "{");
    assert_still_serves(&fleet);
    assert!(
        stopped_in_body.read_until("body_too_slow"),
        "{}",
        stopped_in_body.text()
    );
    assert!(stopped_in_body.text().starts_with("HTTP/1.1 408"));
    assert_eq!(stopped_in_head.read_to_end(), "");
    assert_still_serves(&fleet);
}

/// A caller sends one byte within each read timeout, and the rest of its body
/// at the end. No single read times out, but the body as a whole takes longer
/// than the same timeout, so the request is refused.
#[test]
fn a_caller_that_sends_slowly_is_timed_out() {
    let fleet = start_fleet(&["--caller-timeout-ms=400"]);
    let mut caller = send_raw(&fleet, "Content-Length: 2000", "");
    for _ in 0..20 {
        caller.send(b" ");
        thread::sleep(SLOW_PAUSE);
    }
    caller.send(" ".repeat(1_980).as_bytes());
    assert!(caller.read_until("outcome"), "{}", caller.text());
    assert!(caller.text().contains("body_too_slow"), "{}", caller.text());
    assert_still_serves(&fleet);
}

/// The read timeout also ends an idle `accept`. No caller connects for several
/// read timeouts, and the next caller is still served.
#[test]
fn an_idle_router_keeps_accepting() {
    let fleet = start_fleet(&["--caller-timeout-ms=100"]);
    thread::sleep(Duration::from_millis(1_000));
    assert_still_serves(&fleet);
}

/// The limit of open requests is reached. One more is refused with a retry time.
/// When a request ends, the next one is served.
#[test]
fn a_request_over_the_limit_is_refused_as_not_run() {
    let fleet = start_fleet(&["--max-open-requests=1"]);
    let mut open_request = leave_open(&fleet);
    let mut answer = Answer::default();
    // The open request may not count yet when the first of these is sent.
    for _ in 0..100 {
        answer = fleet.chat(0, "one more", 3, false);
        if answer.status == 503 {
            break;
        }
    }
    assert_eq!(answer.status, 503, "{}", answer.body);
    assert_eq!(answer.json()["error"]["outcome"], "not_run");
    assert!(answer.header("x-request-id").is_some());
    assert!(answer.header("retry-after").is_some());
    assert!(open_request.send("}".repeat(1_999).as_bytes()));
    assert!(open_request.read_until("HTTP/1.1 400"));
    drop(open_request);
    fleet.wait_until_served();
}

/// A missing or wrong key is refused. A withdrawn key is refused with the same
/// status within seconds.
#[test]
fn a_missing_wrong_or_withdrawn_key_is_refused() {
    let fleet = start_fleet(&[]);
    let address = fleet.routers[0].address();
    let missing = Answer::post(address, "/v1/chat/completions", &[], "{}");
    let wrong_key = [("Authorization", "Bearer nonsense")];
    let wrong = Answer::post(address, "/v1/chat/completions", &wrong_key, "{}");
    for answer in [missing, wrong] {
        assert_eq!(answer.status, 401);
        assert_eq!(answer.json()["error"]["code"], "invalid_api_key");
    }
    fleet.platform.delete("key", "gallery-1");
    let mut status = 200;
    for _ in 0..200 {
        status = fleet.chat(0, "withdrawn", 3, false).status;
        if status == 401 {
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(status, 401);
}

/// Guards against a caller that fills the memory with a request line that doesn't end.
#[test]
fn an_endless_request_line_is_refused() {
    let fleet = start_fleet(&[]);
    let stream = TcpStream::connect(fleet.routers[0].address());
    let mut stream = stream.expect("the router listens");
    let timeout = stream.set_write_timeout(Some(Duration::from_millis(500)));
    timeout.expect("the connection is open");
    let mut sent = stream.write(b"GET /").unwrap_or(0);
    while sent < MAX_HEAD_BYTES {
        match stream.write(&[b'x'; 16_384]) {
            Ok(written) => sent += written,
            Err(_) => return,
        }
    }
    panic!("{sent} bytes of a request line were read");
}
