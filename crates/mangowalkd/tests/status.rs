//! Status for operators, what callers must not see of it, and metrics.

use {
    mangowalk_core::record::digest_of,
    mangowalk_standins::{Answer, Fleet, FleetSettings, RouterProcess, free_address},
    serde_json::json,
    std::{collections::BTreeSet, net::SocketAddr, net::UdpSocket, thread, time::Duration},
};

const MAX_POLLS: u32 = 200;
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Returns a fleet of one router that listens to operators, with these further
/// flags, and the router's address for operators.
fn fleet(more: &[&str]) -> (Fleet, SocketAddr) {
    let operators = free_address();
    let mut fleet = Fleet::start(&FleetSettings {
        routers: 0,
        ..FleetSettings::default()
    });
    let flag = format!("--operator-address={operators}");
    let args = [&[flag.as_str()], more].concat();
    let program = env!("CARGO_BIN_EXE_mangowalkd");
    let router = RouterProcess::start(program, fleet.platform.address(), &args);
    router.wait_ready();
    fleet.routers.push(router);
    (fleet, operators)
}

fn chat_until_served(fleet: &Fleet) {
    for _ in 0..MAX_POLLS {
        if fleet.chat(0, "Is walnut in stock?", 4, true).status == 200 {
            return;
        }
        thread::sleep(POLL_INTERVAL);
    }
    panic!("the router served nothing");
}

#[test]
fn the_status_counts_requests_and_shows_no_key() {
    let (fleet, operators) = fleet(&[]);
    chat_until_served(&fleet);
    let answer = Answer::get(operators, "/status", &[]);
    let status = answer.json();
    assert_eq!(status["phase"], "ready", "{}", answer.body);
    let burn = Answer::get(operators, "/burn", &[]);
    let team = &burn.json()["teams"][0];
    assert_eq!(team["team"], "gallery", "{}", burn.body);
    assert_eq!(team["windows"][0]["counts"]["complete"], 1);
    assert!(!answer.body.contains(Fleet::KEY), "{}", answer.body);
    assert!(
        !answer.body.contains(&digest_of(Fleet::KEY)),
        "{}",
        answer.body
    );
}

/// Team names, load and reasons of refusals are for operators only. The caller
/// address must not return them, with or without a key.
#[test]
fn the_caller_address_exposes_no_operator_data() {
    let (fleet, _) = fleet(&[]);
    let bearer = format!("Bearer {}", Fleet::KEY);
    for path in ["/status", "/burn", "/explain"] {
        for headers in [&[][..], &[("Authorization", bearer.as_str())]] {
            let answer = Answer::get(fleet.routers[0].address(), path, headers);
            assert!(answer.status >= 400, "{path}: {}", answer.body);
            assert!(!answer.body.contains("gallery"), "{}", answer.body);
        }
    }
}

#[test]
fn an_invalid_operator_request_gets_an_error() {
    let (fleet, operators) = fleet(&[]);
    let cases = [
        (Answer::get(operators, "/nothing", &[]), 404),
        (Answer::post(operators, "/explain", &[], "{"), 400),
        (
            Answer::post(operators, "/explain", &[], r#"{"team":1}"#),
            400,
        ),
        (Answer::post(operators, "/status", &[], ""), 404),
    ];
    for (answer, status) in cases {
        assert_eq!(answer.status, status, "{}", answer.body);
        assert!(answer.json()["error"].is_string(), "{}", answer.body);
    }
    assert_eq!(Answer::get(operators, "/health", &[]).status, 200);
    assert_eq!(Answer::get(operators, "/ready", &[]).status, 200);
    drop(fleet);
}

/// While an instance drains, `/ready` must return 503, so that its supervisor sees
/// that it isn't ready, and `/status` must give the phase `departing`.
#[test]
fn a_departing_instance_is_not_ready() {
    let (mut fleet, operators) = fleet(&[]);
    fleet.engines[0].set_faults(freeze());
    fleet.engines[1].set_faults(freeze());
    chat_in_the_background(&fleet);
    fleet.routers[0].terminate();
    let mut seen = 0;
    for _ in 0..MAX_POLLS {
        seen = Answer::get(operators, "/ready", &[]).status;
        if seen == 503 {
            break;
        }
        thread::sleep(POLL_INTERVAL);
    }
    assert_eq!(seen, 503);
    let status = Answer::get(operators, "/status", &[]).json();
    assert_eq!(status["phase"], "departing", "{status}");
    fleet.routers[0].kill();
}

fn freeze() -> mangowalk_standins::EngineFaults {
    mangowalk_standins::EngineFaults {
        freeze_after_tokens: Some(1),
        ..Default::default()
    }
}

/// Starts a request that no engine completes, so that the drain has to wait.
fn chat_in_the_background(fleet: &Fleet) {
    let address = fleet.routers[0].address();
    thread::spawn(move || {
        let body = json!({
            "model": "drafting",
            "messages": [{ "role": "user", "content": "wait" }],
            "stream": true,
        });
        let bearer = format!("Bearer {}", Fleet::KEY);
        let headers = [("Authorization", bearer.as_str())];
        Answer::post(address, "/v1/chat/completions", &headers, &body.to_string())
    });
}

/// A request is answered. Within a few seconds a metrics daemon must receive its
/// count, tokens and time to first token, and the gauges.
#[test]
fn metrics_are_sent() {
    let daemon = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    daemon
        .set_read_timeout(Some(POLL_INTERVAL))
        .expect("a timeout");
    let address = daemon.local_addr().expect("an address");
    let (fleet, _) = fleet(&[&format!("--statsd-address={address}")]);
    chat_until_served(&fleet);
    let mut missing: BTreeSet<&str> = [
        "mangowalk.requests:1|c",
        "mangowalk.tokens:",
        "mangowalk.first_token:",
        "mangowalk.open_requests:",
        "mangowalk.queued:",
        "mangowalk.revision:",
        "mangowalk.slots:",
        "mangowalk.peers:",
        "end:complete",
        "team:gallery",
    ]
    .into();
    let mut packet = [0; 2_048];
    for _ in 0..MAX_POLLS {
        if let Ok(length) = daemon.recv(&mut packet) {
            let text = String::from_utf8_lossy(&packet[..length]).into_owned();
            missing.retain(|part| !text.contains(part));
        }
        if missing.is_empty() {
            return;
        }
    }
    panic!("not sent: {missing:?}");
}
