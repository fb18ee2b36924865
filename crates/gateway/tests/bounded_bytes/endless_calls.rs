use {
    super::{
        fake_engine::{Script, Seen, start_engine},
        gateway::run,
    },
    mangowalk_gateway::store::CallClient,
    mangowalk_platform::EngineReport,
    std::{
        fmt::Write,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Timeout of a call for the head of its answer.
const CALL_TIMEOUT_MS: u64 = 1_000;

/// Sends a call to a store whose answer doesn't end, and writes a row of a table.
fn row(name: &str, begin: &str, repeated: &'static [u8], table: &mut String) {
    run(async || {
        let seen = Rc::new(Seen::default());
        let script = Script {
            begin: begin.to_owned(),
            repeated,
            pause: Duration::ZERO,
            faulty_requests: usize::MAX,
            sound: String::new(),
        };
        let address = start_engine(script, seen.clone()).await;
        let client = CallClient::new(address, CALL_TIMEOUT_MS);
        let began = Instant::now();
        let result = client.call(&EngineReport::call("e"), CALL_TIMEOUT_MS).await;
        let is_soon = began.elapsed() < Duration::from_millis(CALL_TIMEOUT_MS);
        sleep(Duration::from_millis(50)).await;
        let _ = writeln!(
            table,
            "{name:<18} {:<9} {:<8} {}",
            if result.is_ok() {
                "answered"
            } else {
                "no answer"
            },
            if is_soon { "in time" } else { "late" },
            match seen.closed_after.get() {
                Some(_) => "closed",
                None => "left open",
            },
        );
    });
}

/// Guards against answers of many engines to reports and orders that are kept at the same time
/// and fill the memory of the instance: a report has a few kilobytes.
#[test]
fn long_answers_of_engines_to_calls_are_not_kept() {
    run(async || {
        const BODY_BYTES: usize = 1024 * 1024;
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
        let script = Script {
            begin: head,
            repeated: b"x",
            pause: Duration::ZERO,
            faulty_requests: usize::MAX,
            sound: String::new(),
        };
        let address = start_engine(script, Rc::new(Seen::default())).await;
        let call = EngineReport::call("e");
        let to_engine = CallClient::to_engine(address, CALL_TIMEOUT_MS);
        let answer = to_engine.call(&call, CALL_TIMEOUT_MS).await;
        assert!(answer.is_err(), "a megabyte of an engine is kept");
        let to_store = CallClient::new(address, CALL_TIMEOUT_MS);
        let answer = to_store.call(&call, CALL_TIMEOUT_MS).await;
        assert!(answer.is_ok_and(|(_, body)| body.len() == BODY_BYTES));
    });
}

/// Guards against answers of the store or of engines to reports and orders that have no end and
/// fill the memory of the instance.
#[test]
fn endless_answers_to_calls_end_in_time() {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut table = String::new();
    row("header line", "HTTP/1.1 200 OK\r\nX: ", b"x", &mut table);
    row(
        "header lines",
        "HTTP/1.1 200 OK\r\n",
        b"X: 0\r\n",
        &mut table,
    );
    row(
        "1xx heads",
        "",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        &mut table,
    );
    row("no HTTP", "", b"\x00\xff", &mut table);
    row("chunk size", head, b"0", &mut table);
    row("chunk extension", &format!("{head}1;"), b"x", &mut table);
    row("trailers", &format!("{head}0\r\n"), b"X: 0\r\n", &mut table);
    row("body", "HTTP/1.1 200 OK\r\n\r\n", b"x", &mut table);
    insta::assert_snapshot!(table);
}
