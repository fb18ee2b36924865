//! Requests of callers whose connection ends after each of their bytes.

use {
    mangowalk_standins::{End, Fleet, FleetSettings},
    serde_json::json,
    std::{
        collections::BTreeMap,
        fmt::Write as _,
        io::{Read, Write},
        net::{Shutdown, SocketAddr, TcpStream},
        thread,
        time::Duration,
    },
};

/// Time within which an answer begins, and within which a request would run after its
/// connection ended.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(1);

const ORDERS: &str = "/v1/services/orders/book";
const CHAT: &str = "/v1/chat/completions";

/// Returns a request with this body; the service records those of its orders.
fn request(path: &str, framing: &str, key: usize, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer {}\r\n\
         Idempotency-Key: k{key:04}\r\n{framing}\r\n\r\n{body}",
        Fleet::KEY
    )
}

/// Returns a body in two chunks.
fn in_chunks(body: &str) -> String {
    let (first, second) = body.split_at(2);
    let chunk = |part: &str| format!("{:x}\r\n{part}\r\n", part.len());
    format!("{}{}0\r\n\r\n", chunk(first), chunk(second))
}

/// Sends the beginning of a request, ends the connection and returns the status of the answer,
/// empty if there is none.
fn status_of(router: SocketAddr, begin: &str, end: End) -> String {
    let mut stream = TcpStream::connect(router).expect("the router listens");
    stream
        .write_all(begin.as_bytes())
        .expect("the router reads");
    if end == End::Reset {
        end.apply(stream);
        return String::new();
    }
    let timeout = stream.set_read_timeout(Some(MAX_ANSWER_TIME));
    timeout.expect("the connection is open");
    stream
        .shutdown(Shutdown::Write)
        .expect("the connection is open");
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer.split(' ').nth(1).unwrap_or_default().to_owned()
}

/// Cuts a request after each byte and writes a line for each status of the answers.
fn add_cuts(
    table: &mut String,
    router: SocketAddr,
    keys: &mut impl Iterator<Item = usize>,
    (path, framing, body): (&str, &str, &str),
) {
    let whole_bytes = request(path, framing, 0, body).len();
    for end in [End::Closed, End::Reset] {
        let mut cuts: BTreeMap<String, usize> = BTreeMap::new();
        // With one key for several, the answer to an order that ran would be replayed.
        for (cut, key) in (0..whole_bytes).zip(keys.by_ref()) {
            let request = request(path, framing, key, body);
            *cuts
                .entry(status_of(router, &request[..cut], end))
                .or_default() += 1;
        }
        let _ = writeln!(table, "{path}, {framing}, {end}: {cuts:?}");
    }
}

/// Guards against a request that breaks off in its head or body being run as a complete one.
#[test]
fn requests_that_break_off_do_not_run() {
    let fleet = Fleet::start(&FleetSettings {
        program: env!("CARGO_BIN_EXE_mangowalkd").to_owned(),
        engines: 1,
        ..FleetSettings::default()
    });
    fleet.wait_until_served();
    let router = fleet.routers[0].address();
    let chat = json!({
        "model": fleet.engines[0].state().model,
        "messages": [{ "role": "user", "content": "a" }],
        "max_tokens": 1,
    });
    let chat = chat.to_string();
    let (length, chunks) = ("Content-Length: 5", "Transfer-Encoding: chunked");
    let mut table = String::new();
    let mut keys = 1..;
    let requests = [
        (ORDERS, length, "order"),
        (ORDERS, chunks, &in_chunks("order")),
        (CHAT, chunks, &in_chunks(&chat)),
    ];
    for request in requests {
        add_cuts(&mut table, router, &mut keys, request);
    }
    thread::sleep(MAX_ANSWER_TIME);
    let runs = fleet.service.runs();
    assert!(runs.is_empty(), "{runs:?}\n{table}");
    for ((path, framing, body), key) in requests.into_iter().zip(keys) {
        let status = status_of(router, &request(path, framing, key, body), End::Closed);
        let _ = writeln!(table, "{path}, {framing}, whole: {status}");
    }
    insta::assert_snapshot!(table);
}
