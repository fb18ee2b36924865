use {
    super::{
        gateway::{Gateway, Reply, run},
        scripted_upstream::{Ending, Script, start_upstream},
    },
    mangowalk_core::routing::RetryPolicy,
    mangowalk_gateway::instance::GatewaySettings,
    mangowalk_platform_standins::ANSWER_HEAD,
    std::rc::Rc,
};

/// ID of all requests.
const ID: &str = "7a";

/// Events of a stream, the first of which has 15 bytes.
const EVENTS: [&str; 2] = ["id: 1\ndata: a\n\n", "id: 2\ndata: a longer one\n\n"];

/// Returns an answer with this line for its length.
fn answer(length: &str, body: &str) -> String {
    let head = ANSWER_HEAD.replace("{id}", ID);
    format!("{head}Content-Type: text/event-stream\r\n{length}\r\n\r\n{body}")
}

/// Returns what a caller gets whose engine sends `first`; the other engine of the service sends
/// the second event.
async fn ask(retry: RetryPolicy, ending: Ending, method: &str, first: &str) -> Reply {
    let second = EVENTS[1];
    let rest = answer(&format!("Content-Length: {}", second.len()), second);
    let script = Script::new(ending, &rest);
    script.send_next([first]);
    let addresses = [
        start_upstream(Rc::clone(&script)).await,
        start_upstream(script).await,
    ];
    let gateway = Gateway::start(retry, &addresses, GatewaySettings::default()).await;
    gateway.ask_by(method, ID).await
}

/// Guards against a stream that its router knows to be cut reaching its caller as a whole one,
/// as the length that its engine told is forwarded and reached.
#[test]
fn a_stream_that_ends_inside_an_event_is_not_complete_by_its_length() {
    for length in [4, 14] {
        for ending in [Ending::InOrder, Ending::Reset, Ending::KeptOpen] {
            let first = answer(&format!("Content-Length: {length}"), EVENTS[0]);
            run(async || {
                let reply = ask(RetryPolicy::Stream, ending, "GET", &first).await;
                let text = String::from_utf8_lossy(&reply.bytes);
                assert!(reply.has_ended, "{length} {ending:?}");
                assert_eq!(reply.body(), None, "{length} {ending:?}: {text}");
            });
        }
    }
}

/// Guards against a resumed stream being cut at the length of its first engine's answer, or
/// missing bytes up to it.
#[test]
fn a_resumed_stream_does_not_have_the_length_of_its_first_answer() {
    for (length, events) in [(4, 1), (14, 1), (20, 2), (40, 2), (1_000, 2)] {
        for ending in [Ending::InOrder, Ending::Reset] {
            let first = answer(&format!("Content-Length: {length}"), EVENTS[0]);
            run(async || {
                let reply = ask(RetryPolicy::ResumableStream, ending, "GET", &first).await;
                let text = String::from_utf8_lossy(&reply.bytes);
                let expected = EVENTS[2 - events..].concat();
                assert_eq!(reply.body(), Some(expected), "{length} {ending:?}: {text}");
            });
        }
    }
}

/// Guards against an answer whose length is told twice, alike, getting lost or being forwarded
/// with a length that isn't one number.
#[test]
fn a_length_that_is_told_twice_is_forwarded_once() {
    let lines = [
        "Content-Length: 15\r\nContent-Length: 15",
        "Content-Length: 15, 15",
        "Content-Length: 15\r\nContent-Length: 15, 15",
    ];
    let kinds = [
        RetryPolicy::AtMostOnce,
        RetryPolicy::Idempotent,
        RetryPolicy::Stream,
        RetryPolicy::ResumableStream,
    ];
    for (line, retry) in lines
        .into_iter()
        .flat_map(|line| kinds.map(|kind| (line, kind)))
    {
        let first = answer(line, EVENTS[0]);
        run(async || {
            let reply = ask(retry, Ending::KeptOpen, "GET", &first).await;
            let text = String::from_utf8_lossy(&reply.bytes);
            let body = reply.body();
            assert_eq!(
                body.as_deref(),
                Some(EVENTS[0]),
                "{retry:?} {line:?}: {text}"
            );
        });
    }
}

/// Guards against the length of an answer that has no body by its request getting lost.
#[test]
fn an_answer_to_head_keeps_its_length() {
    let first = answer("Content-Length: 15", "");
    for retry in [RetryPolicy::AtMostOnce, RetryPolicy::Idempotent] {
        run(async || {
            let reply = ask(retry, Ending::KeptOpen, "HEAD", &first).await;
            let text = String::from_utf8_lossy(&reply.bytes);
            assert!(text.contains("content-length: 15\r\n"), "{retry:?}: {text}");
            assert!(text.ends_with("\r\n\r\n"), "{retry:?}: {text}");
        });
    }
}
