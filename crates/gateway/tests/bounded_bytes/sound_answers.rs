use {
    super::{
        fake_engine::{Script, Seen, start_engine},
        gateway::{Gateway, Reply, run},
    },
    mangowalk_core::routing::RetryPolicy,
    mangowalk_gateway::instance::GatewaySettings,
    mangowalk_platform_standins::ANSWER_FIELDS as HEAD,
    std::{rc::Rc, time::Duration},
};

/// Returns what callers get of an engine that answers each request with these bytes.
fn answers(retry: RetryPolicy, sound: String, count: usize) -> (Vec<Reply>, Rc<Seen>) {
    let seen = Rc::new(Seen::default());
    let mut replies = Vec::new();
    run(async || {
        let script = Script {
            begin: String::new(),
            repeated: b"",
            pause: Duration::ZERO,
            faulty_requests: 0,
            sound,
        };
        let engine = start_engine(script, seen.clone()).await;
        let gateway = Gateway::start(retry, &[engine], GatewaySettings::default()).await;
        for number in 0..count {
            replies.push(gateway.ask(&format!("7a{number}")).await);
        }
    });
    (replies, seen)
}

/// Returns a body in chunks of one byte.
fn in_single_bytes(body: &str) -> String {
    let chunks: String = body
        .chars()
        .map(|byte| format!("1\r\n{byte}\r\n"))
        .collect();
    format!("{chunks}0\r\n\r\n")
}

/// Guards against bounds that cut off an answer with informational heads before it, a long
/// head, chunks of one byte and extensions and trailers.
#[test]
fn plain_answers_within_the_bounds_are_unchanged() {
    let content = "0123456789".repeat(2_000);
    let informational = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n".repeat(20);
    let long = format!("X: {}\r\n", "x".repeat(8_000));
    let chunked = "Transfer-Encoding: chunked\r\n\r\n";
    let length = format!("Content-Length: {}\r\n\r\n", content.len());
    let chunk = format!("{:x};a=b\r\n{content}\r\n0\r\nT: 1\r\n\r\n", content.len());
    let bodies = [
        format!("{informational}HTTP/1.1 200 OK\r\n{HEAD}{length}{content}"),
        format!("HTTP/1.1 200 OK\r\n{long}{HEAD}{length}{content}"),
        format!("HTTP/1.1 200 OK\r\n{HEAD}{chunked}{chunk}"),
        format!(
            "HTTP/1.1 200 OK\r\n{HEAD}{chunked}{}",
            in_single_bytes(&content)
        ),
    ];
    for sound in bodies {
        let (replies, _) = answers(RetryPolicy::Idempotent, sound, 1);
        assert_eq!(replies[0].status(), 200);
        assert_eq!(replies[0].body().as_ref(), Some(&content));
    }
}

/// Guards against bounds that cut off a plain answer of the largest size.
#[test]
fn an_answer_of_two_megabytes_is_unchanged() {
    let content = "0123456789abcdef".repeat(128 * 1024);
    let length = content.len();
    let sound = format!("HTTP/1.1 200 OK\r\n{HEAD}Content-Length: {length}\r\n\r\n{content}");
    let (replies, _) = answers(RetryPolicy::Idempotent, sound, 1);
    assert!(
        replies[0].body() == Some(content),
        "{} bytes",
        replies[0].bytes.len()
    );
}

/// Guards against bounds that cut off a stream with a large event, comments that keep its
/// connection open, and many events.
#[test]
fn streams_within_the_bounds_are_unchanged() {
    let comments = ": waiting\n\n".repeat(40);
    let large = format!("data: {}\n\n", "x".repeat(100_000));
    let small = "data: x\n\n".repeat(5_000);
    let content = format!("{comments}{large}{comments}{small}");
    let head = "Content-Type: text/event-stream\r\nConnection: close\r\n";
    let length = content.len();
    let sound = format!("HTTP/1.1 200 OK\r\n{HEAD}{head}Content-Length: {length}\r\n\r\n{content}");
    for retry in [RetryPolicy::ResumableStream, RetryPolicy::Stream] {
        let (replies, _) = answers(retry, sound.clone(), 1);
        assert!(replies[0].has_ended);
        let sent = replies[0].body().unwrap_or_default();
        assert_eq!(sent.matches("data: x").count(), 5_001, "{retry:?}");
        assert!(sent.contains(&"x".repeat(100_000)), "{retry:?}");
    }
}

/// Guards against bytes behind a complete answer that are taken for the answer to the next
/// request on the connection.
#[test]
fn a_connection_with_bytes_behind_its_answer_is_not_used_again() {
    let sound = format!("HTTP/1.1 200 OK\r\n{HEAD}Content-Length: 5\r\n\r\nsound");
    let foreign = format!("HTTP/1.1 200 OK\r\n{HEAD}Content-Length: 7\r\n\r\nforeign");
    let (replies, seen) = answers(RetryPolicy::AtMostOnce, format!("{sound}{foreign}"), 4);
    for reply in &replies {
        let body = reply.body();
        assert_eq!((reply.status(), body.as_deref()), (200, Some("sound")));
    }
    assert_eq!(seen.connections.get(), 4);
}
