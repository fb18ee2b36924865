use {
    super::{
        fake_engine::{Script, Seen, start_engine},
        gateway::{DEADLINE, Gateway, run},
    },
    mangowalk_core::routing::RetryPolicy,
    mangowalk_gateway::instance::GatewaySettings,
    mangowalk_platform_standins::ANSWER_HEAD as HEAD,
    std::{fmt::Write, rc::Rc, time::Duration},
    tokio::time::sleep,
};

const CHUNKED: &str = "Transfer-Encoding: chunked\r\n\r\n";

const EVENTS: &str = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Time in which a resumable stream has to leave a faulty engine.
const MAX_DETECTION: Duration = Duration::from_millis(2_000);

struct Case {
    name: &'static str,
    begin: String,
    repeated: &'static [u8],
    pause: Duration,
}

fn case(name: &'static str, begin: &str, repeated: &'static [u8]) -> Case {
    Case {
        name,
        begin: begin.to_owned(),
        repeated,
        pause: Duration::ZERO,
    }
}

fn slow_case(name: &'static str, begin: &str, repeated: &'static [u8]) -> Case {
    Case {
        pause: Duration::from_millis(10),
        ..case(name, begin, repeated)
    }
}

/// Answers that end neither in their head nor in the framing of their body.
fn endless_framings(body: &str) -> Vec<Case> {
    let begin = |end: &str| format!("{HEAD}{body}{end}");
    vec![
        case("header line", &format!("{HEAD}X: "), b"x"),
        case("header lines", HEAD, b"X: 0123456789\r\n"),
        case("1xx heads", "", b"HTTP/1.1 100 Continue\r\n\r\n"),
        case("no HTTP", "", b"\x00\xff\x07"),
        case("status line", "HTTP/1.1 200 ", b"O"),
        case("empty lines", "", b"\r\n"),
        case("chunk size", &begin(""), b"0"),
        case("spaces behind chunk size", &begin("5"), b" "),
        case("chunk extension", &begin("5;"), b"x"),
        case(
            "chunk extensions",
            &begin(""),
            b"1;0123456789abcdef\r\n:\r\n",
        ),
        case("trailer line", &begin("2\r\n:\n\r\n0\r\nX: "), b"x"),
        case("trailer lines", &begin("2\r\n:\n\r\n0\r\n"), b"X: 0\r\n"),
    ]
}

/// Bodies without an end.
fn endless_bodies() -> Vec<Case> {
    let begin = |end: &str| format!("{HEAD}Content-Type: text/event-stream\r\n{end}");
    vec![
        case("line", &begin("\r\n"), b"x"),
        case("lines of one event", &begin("\r\n"), b"data: x\n"),
        case("comment lines", &begin("\r\n"), b": x\n"),
        case("empty lines", &begin("\r\n"), b"\n"),
        case(
            "line in chunks",
            &begin(CHUNKED),
            b"10\r\n0123456789abcdef\r\n",
        ),
        case("comments in chunks", &begin(CHUNKED), b"4\r\n:xx\n\r\n"),
        case("line behind events", &begin("\r\nid: 1\ndata: 1\n\n"), b"x"),
        case(
            "comment lines behind events",
            &begin("\r\nid: 1\ndata: 1\n\n"),
            b": x\n",
        ),
    ]
}

fn sound_plain() -> String {
    format!("{HEAD}Content-Length: 5\r\n\r\nsound")
}

fn sound_stream() -> String {
    format!("{HEAD}{EVENTS}14\r\nid: 2\ndata: sound\n\n\n\r\n0\r\n\r\n")
}

/// Sends a request to engines of which the first that is chosen gives a faulty answer, and
/// writes a row of a table.
fn row(retry: RetryPolicy, case: &Case, faulty_requests: usize, table: &mut String) {
    run(async || {
        let seen = Rc::new(Seen::default());
        let script = Script {
            begin: case.begin.clone(),
            repeated: case.repeated,
            pause: case.pause,
            faulty_requests,
            sound: match retry.is_stream() {
                true => sound_stream(),
                false => sound_plain(),
            },
        };
        let first = start_engine(script.clone(), seen.clone()).await;
        let second = start_engine(script, seen.clone()).await;
        let gateway = Gateway::start(retry, &[first, second], GatewaySettings::default()).await;
        let reply = gateway.ask("7a").await;
        // The engine sees the end of the connection at its next write.
        sleep(Duration::from_millis(50)).await;
        let is_sound = String::from_utf8_lossy(&reply.bytes).contains("sound");
        let time = match reply.took {
            took if took < MAX_DETECTION => "soon",
            took if took < DEADLINE + Duration::from_millis(300) => "by its deadline",
            _ => "late",
        };
        let _ = writeln!(
            table,
            "{:<28} {} {:<12} {:<16} {}",
            case.name,
            reply.status(),
            if is_sound {
                "sound"
            } else if reply.has_last_chunk() {
                "complete"
            } else if reply.has_ended {
                "ended"
            } else {
                "open"
            },
            time,
            match seen.closed_after.get() {
                Some(_) => "closed",
                None => "left open",
            },
        );
    });
}

fn table(retry: RetryPolicy, cases: &[Case], faulty_requests: usize) -> String {
    let mut table = String::new();
    for case in cases {
        row(retry, case, faulty_requests, &mut table);
    }
    table
}

/// Guards against plain answers whose head or framing has no end and that hold their callers and
/// the memory of the instance until the deadline.
#[test]
fn endless_framings_of_plain_answers_are_retried() {
    let table = table(RetryPolicy::Idempotent, &endless_framings(CHUNKED), 1);
    insta::assert_snapshot!(table);
}

/// Guards against streams whose head or framing has no end.
#[test]
fn endless_framings_of_streams_are_retried() {
    let table = table(RetryPolicy::ResumableStream, &endless_framings(EVENTS), 1);
    insta::assert_snapshot!(table);
}

/// Guards against streams whose bytes never are an event, which keep their callers waiting.
#[test]
fn endless_streams_without_events_are_resumed() {
    let table = table(RetryPolicy::ResumableStream, &endless_bodies(), 1);
    insta::assert_snapshot!(table);
}

/// Guards against streams whose bytes trickle, so that neither a silence nor a bound on their
/// number is reached before the deadline.
#[test]
fn slow_streams_without_events_are_resumed() {
    let begin = |end: &str| format!("{HEAD}Content-Type: text/event-stream\r\n\r\n{end}");
    let cases = [
        slow_case("slow line", &begin(""), b"x"),
        slow_case("slow lines of one event", &begin(""), b"data: x\n"),
        slow_case("slow comment lines", &begin(""), b": x\n"),
        slow_case(
            "slow line behind events",
            &begin("id: 1\ndata: 1\n\n"),
            b"x",
        ),
    ];
    insta::assert_snapshot!(table(RetryPolicy::ResumableStream, &cases, 1));
}

/// Guards against streams that may not run again and that hold their callers with bytes that
/// never are an event.
#[test]
fn endless_streams_that_may_not_run_again_end() {
    let table = table(RetryPolicy::Stream, &endless_bodies(), 2);
    insta::assert_snapshot!(table);
}

/// Guards against plain answers whose body has no end.
#[test]
fn endless_plain_bodies_are_retried() {
    let table = table(RetryPolicy::Idempotent, &endless_bodies(), 1);
    insta::assert_snapshot!(table);
}
