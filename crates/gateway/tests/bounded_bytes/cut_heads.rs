use {
    super::{
        gateway::{Gateway, Reply, run},
        scripted_upstream::{Ending, Script, start_upstream},
    },
    mangowalk_core::routing::RetryPolicy,
    mangowalk_gateway::{
        instance::GatewaySettings,
        store::{CallClient, CallError},
    },
    mangowalk_platform::EngineReport,
    mangowalk_platform_standins::ANSWER_HEAD as HEAD,
    std::rc::Rc,
};

/// ID of all requests.
const ID: &str = "7a";

/// Content of all sound answers, which is one event of a stream.
const SOUND: &str = "data: sound\n\n";

/// Heads of answers in each framing, one of them behind an informational head, each with its
/// name and a body that follows it.
fn answers() -> [(&'static str, String, String); 3] {
    let head = |framing: &str| {
        let head = HEAD.replace("{id}", ID);
        format!("{head}Content-Type: text/event-stream\r\n{framing}\r\n")
    };
    let early = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
    let length = head(&format!("Content-Length: {}\r\n", SOUND.len()));
    let chunks = format!("{:x}\r\n{SOUND}\r\n0\r\n\r\n", SOUND.len());
    [
        ("length", format!("{early}{length}"), SOUND.to_owned()),
        ("chunks", head("Transfer-Encoding: chunked\r\n"), chunks),
        ("connection", head(""), SOUND.to_owned()),
    ]
}

/// A sound answer, whose connection stays open.
fn sound() -> String {
    let [(_, head, body), ..] = answers();
    format!("{head}{body}")
}

/// Sends a request to engines whose next answer ends behind each byte of its head, and checks
/// the replies and how many requests the engines got.
fn check_cuts(
    (retry, framing): (RetryPolicy, &str),
    engines: usize,
    is_pooled: bool,
    check: impl Fn(&str, &Reply, usize),
) {
    let head = head_of(framing);
    for (ending, cut) in cuts(&head) {
        let place = format!("{retry:?} {framing} {ending:?} {is_pooled} {cut}");
        run(async || {
            let script = Script::new(ending, &sound());
            let gateway = start_gateway(retry, engines, &script).await;
            if is_pooled {
                assert_eq!(gateway.ask(ID).await.status(), 200);
            }
            script.send_next([&head[..cut]]);
            let reply = gateway.ask(ID).await;
            check(&place, &reply, script.requests.get());
        });
    }
}

fn head_of(framing: &str) -> String {
    let mut answers = answers().into_iter();
    let found = answers.find(|(name, ..)| *name == framing);
    found.expect("the framing is known").1
}

/// Returns each way to end a connection behind each byte of a head.
fn cuts(head: &str) -> impl Iterator<Item = (Ending, usize)> {
    let length = head.len();
    let at_each_byte = move |ending| (0..length).map(move |cut| (ending, cut));
    [Ending::InOrder, Ending::Reset]
        .into_iter()
        .flat_map(at_each_byte)
}

async fn start_gateway(retry: RetryPolicy, engines: usize, script: &Rc<Script>) -> Gateway {
    let mut addresses = Vec::new();
    for _ in 0..engines {
        addresses.push(start_upstream(script.clone()).await);
    }
    Gateway::start(retry, &addresses, GatewaySettings::default()).await
}

/// Guards against an answer that ends in its head reaching its caller as a whole one or as one
/// that says that nothing ran, and against a request that may run only once being sent again.
#[test]
fn answers_that_end_in_their_heads_are_lost() {
    let kinds = [
        (RetryPolicy::AtMostOnce, "length"),
        (RetryPolicy::Stream, "chunks"),
    ];
    for (kind, is_pooled) in kinds
        .into_iter()
        .flat_map(|kind| [(kind, false), (kind, true)])
    {
        check_cuts(kind, 1, is_pooled, |place, reply, requests| {
            let text = String::from_utf8_lossy(&reply.bytes);
            assert_eq!((reply.status(), requests), (502, 1), "{place}: {text}");
        });
    }
}

/// Guards against the caller of a request that may run again getting an answer that ended in
/// its head instead of that of another engine.
#[test]
fn answers_that_end_in_their_heads_are_replaced() {
    let kinds = [
        (RetryPolicy::Idempotent, "connection"),
        (RetryPolicy::ResumableStream, "chunks"),
    ];
    for kind in kinds {
        check_cuts(kind, 2, false, |place, reply, requests| {
            let text = String::from_utf8_lossy(&reply.bytes);
            assert_eq!((reply.status(), requests), (200, 2), "{place}: {text}");
            assert!(text.contains(SOUND), "{place}: {text}");
        });
    }
}

/// Guards against a stream looking complete because the answer that goes on with it ends in
/// its head.
#[test]
fn a_resumed_stream_that_ends_in_its_head_is_broken_off() {
    let head = head_of("chunks");
    let begun = format!("{head}f\r\nid: 1\ndata: 1\n\n\r\n");
    for (ending, cut) in cuts(&head) {
        run(async || {
            let script = Script::new(ending, &sound());
            let gateway = start_gateway(RetryPolicy::ResumableStream, 2, &script).await;
            script.send_next([&begun, &head[..cut]]);
            let reply = gateway.ask(ID).await;
            assert!(!reply.has_last_chunk(), "{ending:?} {cut}: {reply:?}");
            assert_eq!(script.requests.get(), 2, "{ending:?} {cut}");
        });
    }
}

/// Guards against an answer of the store, or of an engine to a call for its report, that ends
/// in its head being taken for a whole one, on new and on pooled connections.
#[test]
fn answers_to_calls_that_end_in_their_heads_are_lost() {
    const TIMEOUT_MS: u64 = 1_000;
    for (name, head, _) in answers() {
        for is_pooled in [false, true] {
            run(async || {
                for (ending, cut) in cuts(&head) {
                    let script = Script::new(ending, &sound());
                    let address = start_upstream(script.clone()).await;
                    let client = CallClient::new(address, TIMEOUT_MS);
                    let call = EngineReport::call("e");
                    if is_pooled {
                        let sound = client.call(&call, TIMEOUT_MS).await;
                        assert_eq!(sound.expect("the answer is whole").0, 200);
                    }
                    script.send_next([&head[..cut]]);
                    let result = client.call(&call, TIMEOUT_MS).await;
                    let is_lost = matches!(result, Err(CallError::NoAnswer { .. }));
                    let place = format!("{name} {ending:?} {is_pooled} {cut}");
                    assert!(is_lost, "{place}: {result:?}");
                    assert_eq!(script.requests.get(), 1, "{place}");
                }
            });
        }
    }
}
