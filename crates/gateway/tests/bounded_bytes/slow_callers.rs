use {
    super::{
        fake_engine::{Script, Seen, start_engine},
        gateway::{Gateway, Reply, complete_body, run},
    },
    futures_util::future::{join, join_all},
    mangowalk_core::{routing::RetryPolicy, stream::EventBounds},
    mangowalk_gateway::{
        bounded::{CallerStream, CallerWrites, HeldBytes, HeldKind, ReadMeter, StallLimits},
        instance::GatewaySettings,
    },
    mangowalk_platform_standins::ANSWER_HEAD as HEAD,
    std::{
        env, fs,
        io::ErrorKind,
        process::Command,
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::{sleep, timeout},
    },
};

/// An event of a stream of 128 bytes, as one chunk.
const EVENT: &[u8] = b"80\r\ndata: 0123456789abcdef0123456789abcdef0123456789abcdef0123456789ab\
    cdef0123456789abcdef0123456789abcdef0123456789abcdef01234567\n\n\r\n";

/// Times of a test in which nobody waits for seconds.
const SETTINGS_MS: (u64, u64) = (600, 900);

fn settings() -> GatewaySettings {
    GatewaySettings {
        slow_stream_ms: SETTINGS_MS.0,
        unread_answer_ms: SETTINGS_MS.1,
        ..GatewaySettings::default()
    }
}

/// Returns the script of an engine whose first streams go on for ever, and whose others are
/// complete.
fn streams(endless: usize) -> Script {
    let head =
        format!("{HEAD}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    let event = String::from_utf8_lossy(EVENT);
    Script {
        begin: head.clone(),
        repeated: EVENT,
        pause: Duration::ZERO,
        faulty_requests: endless,
        sound: format!("{head}{event}0\r\n\r\n"),
    }
}

/// Returns the script of an engine with plain answers of a megabyte.
fn large_answers() -> Script {
    Script {
        begin: format!("{HEAD}Content-Length: {}\r\n\r\n", 1 << 20),
        repeated: b"x",
        pause: Duration::ZERO,
        faulty_requests: usize::MAX,
        sound: String::new(),
    }
}

async fn read_to_end(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    // A reset ends it as well.
    let _ = timeout(Duration::from_secs(3), stream.read_to_end(&mut bytes)).await;
    bytes
}

/// Waits until nothing is held and returns how long that took.
async fn wait_until_released(gateway: &Gateway) -> Duration {
    let began = Instant::now();
    while gateway.instance.held.total() > 0 && began.elapsed() < Duration::from_secs(8) {
        sleep(Duration::from_millis(10)).await;
    }
    began.elapsed()
}

/// Guards against a caller that reads nothing and makes the instance hold its stream, the engine
/// abort it, or other streams wait; and against a stream that is closed for it and looks
/// complete.
#[test]
fn a_stream_that_isnt_read_is_closed() {
    run(async || {
        let seen = Rc::new(Seen::default());
        let engine = start_engine(streams(1), seen.clone()).await;
        let retry = RetryPolicy::ResumableStream;
        let gateway = Gateway::start(retry, &[engine], settings()).await;
        let mut slow = gateway.send_slowly("7a").await;
        sleep(Duration::from_millis(300)).await;
        let sent_bytes = seen.sent_bytes.get();
        let held_bytes = gateway.instance.held.total();
        assert!(gateway.ask("7b").await.has_last_chunk());
        let waited = wait_until_released(&gateway).await;
        assert_eq!(gateway.instance.held.total(), 0);
        assert!(waited < Duration::from_millis(SETTINGS_MS.0), "{waited:?}");
        sleep(Duration::from_millis(50)).await;
        assert!(
            seen.closed_after.get().is_some(),
            "the engine's connection is closed"
        );
        assert_eq!(
            seen.requests.get(),
            2,
            "the stream isn't sent to an engine again"
        );
        let bytes = read_to_end(&mut slow).await;
        assert!(!bytes.ends_with(b"0\r\n\r\n"), "the answer looks complete");
        assert!(held_bytes < 256 << 10, "{held_bytes} held");
        // It grows by the buffers of the operating system, of which the caller's is the largest.
        assert!(sent_bytes < 8 << 20, "the engine could send {sent_bytes}");
        let metrics = gateway.instance.counters.render();
        assert!(
            metrics.contains("slow_reader_closed_total{reason=\"stream\"} 1"),
            "{metrics}"
        );
    });
}

/// Guards against an engine that works on for a caller which reads nothing, so that all buffers
/// are full, and then leaves.
#[test]
fn the_stream_of_a_caller_that_leaves_unread_bytes_ends() {
    for (behind, is_closed) in [("", true), ("", false), ("\r\n", true), ("\r\n", false)] {
        run(async || {
            let seen = Rc::new(Seen::default());
            let engine = start_engine(streams(usize::MAX), seen.clone()).await;
            let settings = GatewaySettings::default();
            let gateway = Gateway::start(RetryPolicy::Stream, &[engine], settings).await;
            let mut caller = gateway.send_slowly("c0").await;
            let written = caller.write_all(behind.as_bytes()).await;
            written.expect("the connection is open");
            sleep(Duration::from_millis(1_000)).await;
            assert!(seen.closed_after.get().is_none(), "the engine writes");
            let left = match is_closed {
                true => {
                    drop(caller);
                    None
                }
                false => {
                    let ended = caller.shutdown().await;
                    ended.expect("the connection is open");
                    Some(caller)
                }
            };
            sleep(Duration::from_millis(500)).await;
            let case = format!("{behind:?}, whole connection closed: {is_closed}");
            assert!(seen.closed_after.get().is_some(), "{case}");
            drop(left);
        });
    }
}

/// Guards against a caller that reads slowly and steadily being taken for one that doesn't read.
#[test]
fn a_stream_that_is_read_slowly_goes_on() {
    run(async || {
        let seen = Rc::new(Seen::default());
        let engine = start_engine(streams(1), seen.clone()).await;
        let retry = RetryPolicy::ResumableStream;
        let gateway = Gateway::start(retry, &[engine], settings()).await;
        let mut slow = gateway.send_slowly("7a").await;
        let began = Instant::now();
        let mut part = vec![0; 64 << 10];
        while began.elapsed() < Duration::from_millis(3 * SETTINGS_MS.0) {
            sleep(Duration::from_millis(20)).await;
            let read = slow.read(&mut part).await;
            assert!(read.is_ok_and(|read| read > 0), "it was closed");
        }
        assert!(seen.closed_after.get().is_none());
    });
}

/// Guards against an answer that becomes complete while its caller pauses, and for which the
/// shorter time of an open stream goes on.
#[test]
fn a_stream_that_ends_while_it_isnt_read_has_the_time_of_an_answer() {
    run(async || {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let _caller = TcpStream::connect(address).await.expect("it listens");
        let (stream, _) = listener.accept().await.expect("the caller has connected");
        let held = Arc::new(HeldBytes::default());
        let writes = Rc::new(CallerWrites::new(held.hold(HeldKind::Unsent)));
        let meter = Arc::new(ReadMeter::new(held.hold(HeldKind::Received), 8_192));
        let limits = StallLimits {
            stream: Duration::from_millis(200),
            answer: Duration::from_millis(600),
        };
        let mut stream = CallerStream::new(stream, meter, writes.clone(), limits);
        writes.begin_answer("7a", true);
        let began = Instant::now();
        let unread = vec![0; 32 << 20];
        let end = async {
            sleep(Duration::from_millis(100)).await;
            writes.end_answer();
        };
        let (written, ()) = join(stream.write_all(&unread), end).await;
        assert!(written.is_err_and(|error| error.kind() == ErrorKind::TimedOut));
        assert!(writes.is_too_slow());
        let took = began.elapsed();
        assert!(took >= limits.answer, "{took:?}");
    });
}

/// Guards against an event being taken for endless because its caller didn't read for longer than
/// an event may take to arrive.
#[test]
fn a_stream_of_large_events_goes_on_after_a_pause_of_its_caller() {
    run(async || {
        let seen = Rc::new(Seen::default());
        // Each event arrives in several parts.
        let content = format!("data: {}\n\n", "x".repeat(100_000)).repeat(40);
        let length = content.len();
        let sound = format!(
            "{HEAD}Content-Type: text/event-stream\r\nContent-Length: {length}\r\n\r\n{content}"
        );
        let script = Script {
            sound,
            ..streams(0)
        };
        let engine = start_engine(script, seen.clone()).await;
        let settings = GatewaySettings {
            event_bounds: EventBounds {
                max_event_ms: 300,
                ..EventBounds::default()
            },
            ..GatewaySettings::default()
        };
        let gateway = Gateway::start(RetryPolicy::ResumableStream, &[engine], settings).await;
        let connected = TcpStream::connect(gateway.address).await;
        let connected = connected.expect("the gateway listens");
        let mut caller = gateway.send(connected, "7a").await;
        sleep(Duration::from_millis(600)).await;
        let bytes = read_to_end(&mut caller).await;
        assert_eq!(
            seen.requests.get(),
            1,
            "the stream is sent to an engine again"
        );
        let is_unchanged = complete_body(&bytes).is_some_and(|body| body == content.as_bytes());
        assert!(is_unchanged, "{} of {length} bytes", bytes.len());
    });
}

/// Guards against plain answers that are all read in part when the instance holds too much, and
/// then wait for each other until their deadlines.
#[test]
fn large_answers_at_the_same_time_are_delivered() {
    run(async || {
        let engine = start_engine(large_answers(), Rc::new(Seen::default())).await;
        let retry = RetryPolicy::Idempotent;
        let gateway = Gateway::start(retry, &[engine], GatewaySettings::default()).await;
        let ids: Vec<String> = (0..40).map(|number| format!("{number:x}")).collect();
        let replies = join_all(ids.iter().map(|id| gateway.ask(id))).await;
        let whole = |reply: &&Reply| reply.status() == 200 && reply.bytes.len() > 1 << 20;
        assert_eq!(replies.iter().filter(whole).count(), 40);
        assert_eq!(gateway.instance.held.total(), 0);
    });
}

/// Guards against complete answers that are never read and are held until the process ends.
#[test]
fn an_answer_that_isnt_read_is_dropped() {
    run(async || {
        let seen = Rc::new(Seen::default());
        let engine = start_engine(large_answers(), seen).await;
        let retry = RetryPolicy::Idempotent;
        let gateway = Gateway::start(retry, &[engine], settings()).await;
        let mut slow = Vec::new();
        for number in 0..8 {
            slow.push(gateway.send_slowly(&format!("7a{number}")).await);
        }
        sleep(Duration::from_millis(400)).await;
        let unsent = gateway.instance.held.of(HeldKind::Unsent);
        assert!(unsent > 0, "it fits the buffers of the operating system");
        wait_until_released(&gateway).await;
        assert_eq!(gateway.instance.held.total(), 0);
        let bytes = read_to_end(&mut slow[0]).await;
        assert!(bytes.len() < 1 << 20, "the answer looks complete");
        let metrics = gateway.instance.counters.render();
        assert!(
            metrics.contains("slow_reader_closed_total{reason=\"answer\"}"),
            "{metrics}"
        );
    });
}

/// Guards against requests that are accepted or run while the instance holds more than it may.
#[test]
fn requests_are_refused_while_too_much_is_held() {
    run(async || {
        let seen = Rc::new(Seen::default());
        let engine = start_engine(large_answers(), seen.clone()).await;
        let retry = RetryPolicy::Idempotent;
        let gateway = Gateway::start(retry, &[engine], settings()).await;
        let held = gateway.instance.held.hold(HeldKind::Unsent);
        held.set(gateway.instance.max_held_bytes() + 1);
        let reply = gateway.ask("7a").await;
        assert_eq!(reply.status(), 503);
        let text = String::from_utf8_lossy(&reply.bytes).to_ascii_lowercase();
        assert!(text.contains("retry-after: 1."), "{text}");
        assert_eq!(seen.requests.get(), 0);
        drop(held);
        assert_eq!(gateway.ask("7b").await.status(), 200);
    });
}

/// Memory of this process and of all connections of the machine, in bytes.
#[derive(Debug, Clone, Copy)]
struct Memory {
    process: usize,
    connections: usize,
}

const PAGE_BYTES: usize = 4_096;

fn number(text: Option<&str>) -> usize {
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn memory() -> Memory {
    let process = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let sockets = fs::read_to_string("/proc/net/sockstat").unwrap_or_default();
    let tcp = sockets.lines().find(|line| line.starts_with("TCP:"));
    Memory {
        process: PAGE_BYTES * number(process.split(' ').nth(1)),
        connections: PAGE_BYTES * number(tcp.and_then(|line| line.split(' ').next_back())),
    }
}

/// Guards against slow callers that fill the memory of an instance of 88 MB. Prints the table of
/// the design note on bounded bytes.
#[test]
fn memory_at_200_slow_callers_is_bounded() {
    for (name, retry, script) in [
        ("streams", RetryPolicy::ResumableStream, streams(usize::MAX)),
        ("plain answers", RetryPolicy::Idempotent, large_answers()),
    ] {
        run(async || {
            let engine = start_engine(script, Rc::new(Seen::default())).await;
            let settings = GatewaySettings {
                slow_stream_ms: 3_000,
                unread_answer_ms: 3_000,
                ..GatewaySettings::default()
            };
            let gateway = Gateway::start(retry, &[engine], settings).await;
            let before = memory();
            let mut slow = Vec::new();
            for number in 0..200 {
                slow.push(gateway.send_slowly(&format!("{number:x}")).await);
            }
            sleep(Duration::from_millis(2_300)).await;
            let during = memory();
            let held = gateway.instance.held.total();
            wait_until_released(&gateway).await;
            let after = memory();
            let kib = |bytes: usize, base: usize| bytes.saturating_sub(base) >> 10;
            println!(
                "{name}: process +{} KiB, connections +{} KiB, held {} KiB; after closing +{} KiB, \
                 +{} KiB, held {} KiB",
                kib(during.process, before.process),
                kib(during.connections, before.connections),
                held >> 10,
                kib(after.process, before.process),
                kib(after.connections, before.connections),
                gateway.instance.held.total() >> 10,
            );
            assert!(
                held < gateway.instance.max_held_bytes() + (8 << 20),
                "{held} held"
            );
            assert_eq!(gateway.instance.held.total(), 0);
        });
    }
}

/// Variable that is set in a process that runs one test alone.
const OWN_PROCESS: &str = "MANGOWALK_TEST_OWN_PROCESS";

/// Memory that an instance of 88 MB may use beyond what it has at rest.
const MAX_GROWTH_BYTES: usize = 44 << 20;

/// Guards against faulty engines that fill the memory of an instance of 88 MB with bytes that are
/// no answer, in heads or bodies without an end, to many requests at the same time.
#[test]
fn memory_at_200_endless_answers_is_bounded() {
    // Other tests of this process use memory as well.
    if env::var_os(OWN_PROCESS).is_none() {
        let program = env::current_exe().expect("the test's program is known");
        let status = Command::new(program)
            .args(["memory_at_200_endless_answers_is_bounded", "--nocapture"])
            .env(OWN_PROCESS, "1")
            .status();
        assert!(status.expect("the program starts").success());
        return;
    }
    let body = format!("{HEAD}\r\n");
    for (name, begin, repeated) in [
        ("head", "HTTP/1.1 200 OK\r\nX: ", &b"x"[..]),
        ("heads of status 100", "", b"HTTP/1.1 100 Continue\r\n\r\n"),
        ("no HTTP", "", b"\x00\xff"),
        ("body", body.as_str(), b"x"),
    ] {
        run(async || {
            let script = Script {
                begin: begin.to_owned(),
                repeated,
                pause: Duration::ZERO,
                faulty_requests: usize::MAX,
                sound: String::new(),
            };
            let (seen, mut engines) = (Rc::new(Seen::default()), Vec::new());
            for _ in 0..100 {
                engines.push(start_engine(script.clone(), seen.clone()).await);
            }
            let retry = RetryPolicy::Idempotent;
            let gateway = Gateway::start(retry, &engines, GatewaySettings::default()).await;
            let before = memory();
            let mut callers = Vec::new();
            for number in 0..200 {
                callers.push(gateway.send_slowly(&format!("{number:x}")).await);
            }
            let (mut held, mut grown) = (0, 0);
            for _ in 0..100 {
                sleep(Duration::from_millis(20)).await;
                held = held.max(gateway.instance.held.total());
                grown = grown.max(memory().process.saturating_sub(before.process));
            }
            let answers = seen.requests.get();
            println!(
                "{name}: {answers} answers, held {} KiB, process +{} KiB",
                held >> 10,
                grown >> 10
            );
            // Above the bound, requests are refused before they reach engines.
            let bound = gateway.instance.max_held_bytes();
            assert!(answers >= 100 || held >= bound, "{name}: {answers} answers");
            let max_held = bound + (8 << 20);
            assert!(held < max_held, "{name}: {held} held");
            assert!(grown < MAX_GROWTH_BYTES, "{name}: {grown} more bytes");
        });
    }
}
