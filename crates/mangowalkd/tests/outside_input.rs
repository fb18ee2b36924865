//! Arbitrary bytes from callers and peers.

use {
    mangowalk_core::peer::{PeerReply, PeerRequest},
    mangowalk_standins::{Answer, Fleet, FleetSettings},
    proptest::{prelude::*, test_runner::TestRunner},
    std::{
        io::{Read, Write},
        net::{Shutdown, SocketAddr, TcpStream},
        time::Duration,
    },
};

/// Number of generated inputs that are sent to one running router.
const CASES: u32 = 64;

/// Timeout of the router's response to bytes that are not a request.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

fn runner() -> TestRunner {
    TestRunner::new(ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        ..ProptestConfig::default()
    })
}

fn fleet() -> Fleet {
    Fleet::start(&FleetSettings {
        program: env!("CARGO_BIN_EXE_mangowalkd").to_owned(),
        ..FleetSettings::default()
    })
}

fn still_serves(fleet: &Fleet) {
    assert_eq!(
        Answer::get(fleet.routers[0].address(), "/health", &[]).status,
        200
    );
}

/// The caller sends a body that is not a valid request. The response is a
/// protocol error with a 4xx status, and the router keeps serving.
#[test]
fn any_invalid_body_gets_a_protocol_error() {
    let fleet = fleet();
    let bearer = format!("Bearer {}", Fleet::KEY);
    let bodies = prop_oneof![
        ".{0,256}",
        "\\{\"model\":\"drafting\",\"messages\":.{0,64}",
        "\\[{0,200}\\]{0,200}",
    ];
    runner()
        .run(&bodies, |body| {
            let answer = Answer::post(
                fleet.routers[0].address(),
                "/v1/chat/completions",
                &[("Authorization", &bearer)],
                &body,
            );
            prop_assert!((400..500).contains(&answer.status), "{}", answer.status);
            prop_assert!(answer.json()["error"]["message"].is_string());
            Ok(())
        })
        .expect("every body is answered");
    still_serves(&fleet);
}

/// The caller sends bytes that are not valid HTTP. Whatever it receives, the
/// router keeps serving.
#[test]
fn arbitrary_bytes_do_not_stop_the_router() {
    let fleet = fleet();
    let bytes = prop_oneof![
        prop::collection::vec(any::<u8>(), 0..200),
        "(GET|POST) /[a-z/]{0,20} HTTP/1.1\r\n([A-Za-z-]{1,12}: .{0,20}\r\n){0,4}"
            .prop_map(String::into_bytes),
    ];
    runner()
        .run(&bytes, |bytes| {
            send_raw(fleet.routers[0].address(), &bytes);
            Ok(())
        })
        .expect("no bytes stop the router");
    still_serves(&fleet);
}

fn send_raw(address: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(address).expect("the router listens");
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("the read timeout is set");
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(Shutdown::Write);
    let _ = stream.read_to_end(&mut Vec::new());
}

/// A peer message of arbitrary bytes is decoded or rejected without a panic.
#[test]
fn any_peer_message_is_decoded_or_rejected() {
    runner()
        .run(&prop::collection::vec(any::<u8>(), 0..400), |bytes| {
            let _ = postcard::from_bytes::<PeerRequest>(&bytes);
            let _ = postcard::from_bytes::<PeerReply>(&bytes);
            Ok(())
        })
        .expect("no message stops the decoder");
}
