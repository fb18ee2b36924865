//! Invalid settings files, and malformed or oversized requests.

use {
    super::PROGRAM,
    mangowalk_platform_standins::{Caller, Deployment, KEY, RouteKind},
    std::{fs, process::Command},
};

fn check_settings(text: &str) -> (Option<i32>, String) {
    let path = std::env::temp_dir().join(format!(
        "mangowalk-check-{}-{}.conf",
        std::process::id(),
        text.len()
    ));
    fs::write(&path, text).expect("the temporary directory is writable");
    let output = Command::new(PROGRAM)
        .args(["machine", "--check", "--settings"])
        .arg(&path)
        .output()
        .expect("the program starts");
    fs::remove_file(&path).expect("the file exists");
    let text = [output.stdout, output.stderr].concat();
    (
        output.status.code(),
        String::from_utf8_lossy(&text).into_owned(),
    )
}

const VALID_SETTINGS: &str = "NodeName=m\nZone=a\nListen.Front=127.0.0.1:1\nListen.Ready=127.0.0.1:2\n\
                    Listen.Directory=127.0.0.1:3\nInternalPorts=4,9\nProvider.Address=127.0.0.1:5\n";

#[test]
fn a_settings_file_is_checked_by_field() {
    assert_eq!(
        check_settings(VALID_SETTINGS),
        (Some(0), "The settings can be used.\n".to_owned())
    );
    let (code, text) = check_settings(&VALID_SETTINGS.replace("Zone=a\n", ""));
    assert_eq!(code, Some(2));
    insta::assert_snapshot!(text, @"mangowalkd machine: The settings file lacks Zone; add a line Zone=VALUE.");
    let (code, text) = check_settings(&VALID_SETTINGS.replace("127.0.0.1:2", "here"));
    assert_eq!(code, Some(2));
    insta::assert_snapshot!(text, @"mangowalkd machine: The settings file has Listen.Ready=here; write an IP number, a colon and a port there.");
    let (code, _) = check_settings(&format!("{VALID_SETTINGS}Unknown.Field=7\n"));
    assert_eq!(code, Some(0), "unknown fields are ignored");
}

/// Callers send request heads that are malformed, too long, or have two lengths.
/// Each must get an error response, and the next caller must be served.
#[test]
fn malformed_requests_are_rejected_and_the_next_is_served() {
    let deployment = Deployment::start(PROGRAM, 1, 1);
    let address = deployment.machines[0].caller_address();
    let long = format!(
        "GET / HTTP/1.1\r\nHost: h\r\nX: {}\r\n\r\n",
        "x".repeat(40_000)
    );
    let two_lengths = "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab";
    let cases: [(&str, &[u16]); 5] = [
        ("nonsense\r\n\r\n", &[400]),
        (
            "GET /lookup/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n",
            &[400],
        ),
        (
            &Caller::request_text("POST", "/order/1", "6b6b", KEY, two_lengths),
            &[400],
        ),
        (&Caller::request_text_with_bad_deadline("/lookup/1"), &[400]),
        (&long, &[400, 431]),
    ];
    for (text, statuses) in cases {
        let reply = Caller::send_raw(address, text.as_bytes());
        let excerpt: String = text.chars().take(60).collect();
        assert!(statuses.contains(&reply.status), "{excerpt}: {reply:?}");
    }
    let reply = deployment.caller(0).plain(
        "GET",
        RouteKind::Idempotent.path(),
        &Caller::new_request_id(),
    );
    assert_eq!(reply.status, 200);
}

/// Guards against request smuggling: a request with both a length and a chunked
/// encoding hides a second request in its body. The hidden one must not reach an
/// engine.
#[test]
fn a_smuggled_request_reaches_no_engine() {
    let deployment = Deployment::start(PROGRAM, 1, 1);
    let inner = Caller::request_text("POST", "/order/1", "5a5a", KEY, "Content-Length: 0\r\n\r\n");
    let framing = format!(
        "Content-Length: {}\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n{inner}",
        inner.len() + 5,
    );
    let text = Caller::request_text("POST", "/order/1", "7b7b", KEY, &framing);
    Caller::send_raw(deployment.machines[0].caller_address(), text.as_bytes());
    assert_eq!(deployment.times_run("5a5a"), 0);
}

/// A caller declares numbers of prompt and answer tokens whose sum overflows to a
/// small number. The request must not count as a small one within its team's rate
/// limit, and no engine may receive it.
#[test]
fn token_counts_whose_sum_overflows_are_refused() {
    let deployment = Deployment::start(PROGRAM, 1, 1);
    let address = deployment.machines[0].caller_address();
    let path = RouteKind::Stream.path();
    let wrapping = Caller::request_text_with_tokens(path, "9d9d", "key-of-small", u64::MAX, 80);
    let reply = Caller::send_raw(address, wrapping.as_bytes());
    assert_eq!(reply.status, 400, "{reply:?}");
    assert!(reply.body.contains("tokens"), "{reply:?}");
    assert_eq!(deployment.times_run("9d9d"), 0);
    let sound = Caller::request_text_with_tokens(path, "9e9e", KEY, 1_000, 80);
    assert_eq!(Caller::send_raw(address, sound.as_bytes()).status, 200);
}

#[test]
fn a_body_beyond_the_limit_is_refused() {
    let deployment = Deployment::start(PROGRAM, 1, 1);
    let body = "x".repeat(150_000);
    let rest = format!(
        "Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len(),
    );
    let text = Caller::request_text("POST", "/order/1", "8c8c", KEY, &rest);
    let reply = Caller::send_raw(deployment.machines[0].caller_address(), text.as_bytes());
    assert!([0, 413].contains(&reply.status), "{reply:?}");
    assert_eq!(deployment.times_run("8c8c"), 0);
}
