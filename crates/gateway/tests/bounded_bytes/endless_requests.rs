use {
    super::gateway::{DEADLINE, Gateway, run},
    mangowalk_core::routing::RetryPolicy,
    mangowalk_gateway::instance::GatewaySettings,
    mangowalk_platform_standins::request_fields,
    std::{
        fmt::Write,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
};

/// Time after which a caller stops sending.
const MAX_SENDING: Duration = Duration::from_secs(6);

/// Bytes after which a caller stops sending.
const MAX_SENT_BYTES: usize = 64 << 20;

/// Sends a request without an end until the connection is closed, and returns how many bytes
/// were accepted and the first bytes of the answer.
async fn send_endless(stream: TcpStream, begin: &str, repeated: &[u8]) -> (usize, Vec<u8>) {
    let (mut reader, mut writer) = stream.into_split();
    let mut answer = Vec::new();
    let mut sent = 0;
    let piece = repeated.repeat(16_384 / repeated.len());
    let sending = async {
        writer.write_all(begin.as_bytes()).await?;
        while sent < MAX_SENT_BYTES {
            sent += writer.write(&piece).await?;
        }
        Ok::<(), std::io::Error>(())
    };
    let reading = reader.read_to_end(&mut answer);
    // Ends with the connection, or with the time for it.
    let _ = timeout(MAX_SENDING, async { tokio::join!(sending, reading) }).await;
    (sent, answer)
}

fn row(name: &str, begin: &str, repeated: &[u8], table: &mut String) {
    run(async || {
        let settings = GatewaySettings::default();
        let gateway = Gateway::start(RetryPolicy::AtMostOnce, &[], settings).await;
        let stream = TcpStream::connect(gateway.address).await;
        let stream = stream.expect("the gateway listens");
        let began = Instant::now();
        let (sent, answer) = send_endless(stream, begin, repeated).await;
        let status = String::from_utf8_lossy(answer.get(9..12).unwrap_or_default()).into_owned();
        let time = match began.elapsed() {
            took if took < Duration::from_millis(1_000) => "soon",
            took if took < DEADLINE + Duration::from_millis(300) => "by its deadline",
            _ => "late",
        };
        let bytes = match sent < MAX_SENT_BYTES {
            true => "cut off",
            false => "read",
        };
        let _ = writeln!(table, "{name:<16} {status:<4} {time:<16} {bytes}");
        assert_eq!(gateway.instance.held.total(), 0, "{name}");
    });
}

/// Guards against requests whose head or body has no end and that fill the memory of the
/// instance.
#[test]
fn endless_requests_end_in_time() {
    let head = format!(
        "POST /a/1 HTTP/1.1\r\nHost: shop.example\r\n{}",
        request_fields("7a", DEADLINE.as_millis())
    );
    let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
    let mut table = String::new();
    row("request line", "GET /", b"x", &mut table);
    row("header line", &format!("{head}X: "), b"x", &mut table);
    row("header lines", &head, b"X: 0123456789\r\n", &mut table);
    row("no HTTP", "", b"\x00\xff", &mut table);
    row("chunk size", &chunked, b"0", &mut table);
    row("chunk extension", &format!("{chunked}1;"), b"x", &mut table);
    row(
        "trailers",
        &format!("{chunked}0\r\n"),
        b"X: 0\r\n",
        &mut table,
    );
    row("chunks", &chunked, b"5\r\n01234\r\n", &mut table);
    let long = format!("{head}Content-Length: 99999999999\r\n\r\n");
    row("body", &long, b"x", &mut table);
    insta::assert_snapshot!(table);
}
