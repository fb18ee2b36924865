//! Answers of engines, services and the platform whose bytes never end.

use {
    mangowalk_core::{
        edge::{EngineEvents, Engines, Platform, SendError, ServiceCall, Services},
        engine::GenerateRequest,
        platform::ObjectKey,
    },
    mangowalkd::edge::{HttpEngines, HttpPlatform, HttpServices, Traffic},
    std::{
        fmt::Write as _,
        io::{Read, Write},
        net::{SocketAddr, TcpListener},
        sync::Arc,
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

/// Bytes after which an answer stops by itself.
const MAX_SENT_BYTES: usize = 64 << 20;

/// Time after which an answer stops by itself.
const MAX_SENDING: Duration = Duration::from_secs(5);

/// Starts an upstream that answers one request, and returns its address and how many bytes of
/// the answer were accepted.
fn start(begin: &str, repeated: &'static [u8]) -> (SocketAddr, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a listener has an address");
    let begin = begin.to_owned();
    let sending = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the router connects");
        // The request fits one read on loopback.
        let _ = stream.read(&mut [0; 4_096]);
        let until = Instant::now() + MAX_SENDING;
        let timeout = stream.set_write_timeout(Some(Duration::from_millis(500)));
        timeout.expect("the connection is open");
        let piece = repeated.repeat(16_384 / repeated.len());
        let mut sent = 0;
        let mut is_open = stream.write_all(begin.as_bytes()).is_ok();
        while is_open && sent < MAX_SENT_BYTES && Instant::now() < until {
            match stream.write(&piece) {
                Ok(written) => sent += written,
                Err(_) => is_open = false,
            }
        }
        sent
    });
    (address, sending)
}

/// Writes a row on a call to an upstream whose answer doesn't end.
fn row(
    table: &mut String,
    name: &str,
    answer: (&str, &'static [u8]),
    call: impl FnOnce(SocketAddr) -> String,
) {
    let (address, sending) = start(answer.0, answer.1);
    let began = Instant::now();
    let outcome = call(address);
    let time = match began.elapsed() {
        took if took < Duration::from_millis(2_500) => "in time",
        _ => "late",
    };
    let sent = sending.join().expect("the upstream doesn't panic");
    let bytes = match sent < MAX_SENT_BYTES {
        true => "cut off",
        false => "read",
    };
    let _ = writeln!(table, "{name:<18} {outcome:<10} {time:<8} {bytes}");
}

fn stream_outcome(address: SocketAddr) -> String {
    let request = GenerateRequest {
        request_id: "r1".to_owned(),
        attempt: 1,
        cache_salt: String::new(),
        model: "m".to_owned(),
        version: "v1".to_owned(),
        incarnation: 1,
        prompt: String::new(),
        max_tokens: 5,
        generated: Vec::new(),
        priority: 0,
    };
    let mut events = HttpEngines::new(Arc::<Traffic>::default()).generate(address, &request);
    match events.wait(2_500) {
        Ok(Some(_)) => "event".to_owned(),
        Ok(None) => "silent".to_owned(),
        Err(error) => format!("{error:?}"),
    }
}

/// Guards against streams of engines that never bring an event and hold their caller, a thread
/// and memory for as long as the engine sends.
#[test]
fn endless_streams_of_engines_are_lost() {
    let head = "HTTP/1.1 200 OK\r\n\r\n";
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut table = String::new();
    let answers: [(&str, (&str, &[u8])); 8] = [
        ("header line", ("HTTP/1.1 200 OK\r\nX: ", b"x")),
        ("header lines", ("HTTP/1.1 200 OK\r\n", b"X: 0\r\n")),
        ("status line", ("HTTP/1.1 200 O", b"K")),
        ("chunk size", (chunked, b"0")),
        ("trailers", (&format!("{chunked}0\r\n"), b"X: 0\r\n")),
        ("line", (head, b"x")),
        ("data", (&format!("{head}data: "), b"x")),
        ("comment lines", (head, b": x\n")),
    ];
    for (name, answer) in answers {
        row(&mut table, name, answer, stream_outcome);
    }
    insta::assert_snapshot!(table);
}

/// Guards against answers of services that go on until the memory is full.
#[test]
fn endless_answers_of_services_end_in_time() {
    let call = |address| {
        let call = ServiceCall {
            method: "GET",
            path: "/book",
            content_type: "application/json",
            team: "shop",
            request_id: "r1",
            idempotency_key: None,
            body: b"",
        };
        match HttpServices.call(address, &call, 2_000, &|| true) {
            Ok(reply) => reply.status.to_string(),
            Err(SendError::Lost) => "lost".to_owned(),
            Err(error) => format!("{error:?}"),
        }
    };
    let head = "HTTP/1.1 200 OK\r\n";
    let mut table = String::new();
    row(
        &mut table,
        "header line",
        (&format!("{head}X: "), b"x"),
        call,
    );
    row(
        &mut table,
        "1xx heads",
        ("", b"HTTP/1.1 100 Continue\r\n\r\n"),
        call,
    );
    row(&mut table, "body", (&format!("{head}\r\n"), b"x"), call);
    insta::assert_snapshot!(table);
}

/// Guards against answers of the platform that go on until the memory is full.
#[test]
fn endless_answers_of_the_platform_end_in_time() {
    let call = |address| {
        let platform = HttpPlatform::new(address, Arc::<Traffic>::default());
        let key = ObjectKey {
            kind: "config".to_owned(),
            name: "main".to_owned(),
        };
        match platform.get(&key) {
            Ok(_) => "read".to_owned(),
            Err(_) => "failed".to_owned(),
        }
    };
    let head = "HTTP/1.1 200 OK\r\n";
    let mut table = String::new();
    row(
        &mut table,
        "header line",
        (&format!("{head}X: "), b"x"),
        call,
    );
    row(&mut table, "header lines", (head, b"X: 0\r\n"), call);
    row(&mut table, "body", (&format!("{head}\r\n"), b"x"), call);
    insta::assert_snapshot!(table);
}

/// Guards against heads whose lines end with a line feed alone, which the HTTP library counts
/// wrongly, being read on without a bound or ending the thread that made the call.
#[test]
fn endless_header_lines_with_line_feeds_end_in_time() {
    let (address, sending) = start("HTTP/1.1 200 OK\n", b"x\n");
    let call = thread::spawn(move || {
        let platform = HttpPlatform::new(address, Arc::<Traffic>::default());
        platform.list(&["config"]).is_err()
    });
    let failed = call.join();
    let sent = sending.join().expect("the upstream doesn't panic");
    assert!(failed.expect("the call doesn't panic"));
    assert!(sent < MAX_SENT_BYTES);
}
