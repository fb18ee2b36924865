use {
    mangowalk_platform_standins::request_id,
    std::{
        cell::Cell,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Bytes after which an endless answer stops by itself.
const MAX_SENT_BYTES: usize = 64 << 20;

/// Time after which an endless answer stops by itself.
const MAX_SENDING: Duration = Duration::from_secs(8);

/// Size of the pieces in which an endless answer is sent.
const PIECE_BYTES: usize = 16 << 10;

/// How an engine answers the requests that it gets.
#[derive(Debug, Clone)]
pub(super) struct Script {
    /// What the faulty answer begins with; `{id}` stands for the request's ID.
    pub(super) begin: String,
    /// What the faulty answer then repeats; nothing more is sent if it is empty.
    pub(super) repeated: &'static [u8],
    /// Pause between two repetitions; without one it is sent in large pieces.
    pub(super) pause: Duration,
    /// Number of requests that get the faulty answer.
    pub(super) faulty_requests: usize,
    /// What other requests get.
    pub(super) sound: String,
}

/// What engines have seen of the gateway.
#[derive(Debug, Default)]
pub(super) struct Seen {
    pub(super) requests: Cell<usize>,
    pub(super) connections: Cell<usize>,
    /// Bytes of faulty answers that were accepted for sending.
    pub(super) sent_bytes: Cell<usize>,
    /// Time from the request to the end of the connection of a faulty answer.
    pub(super) closed_after: Cell<Option<Duration>>,
}

/// Starts an engine on the loopback interface, which lives as long as the event loop.
pub(super) async fn start_engine(script: Script, seen: Rc<Seen>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            seen.connections.set(seen.connections.get() + 1);
            spawn_local(serve(stream, script.clone(), seen.clone()));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, script: Script, seen: Rc<Seen>) {
    while let Some(id) = read_request(&mut stream).await {
        seen.requests.set(seen.requests.get() + 1);
        if seen.requests.get() <= script.faulty_requests {
            return send_faulty(stream, &script, &id, &seen).await;
        }
        let answer = script.sound.replace("{id}", &id);
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn send_faulty(mut stream: TcpStream, script: &Script, id: &str, seen: &Seen) {
    let began = Instant::now();
    let count = match script.pause {
        Duration::ZERO => PIECE_BYTES / script.repeated.len().max(1),
        _ => 1,
    };
    let piece = script.repeated.repeat(count);
    let sending = async {
        stream
            .write_all(script.begin.replace("{id}", id).as_bytes())
            .await?;
        while seen.sent_bytes.get() < MAX_SENT_BYTES && !piece.is_empty() {
            let written = stream.write(&piece).await?;
            seen.sent_bytes.set(seen.sent_bytes.get() + written);
            sleep(script.pause).await;
        }
        stream.read(&mut [0; 1]).await
    };
    if timeout(MAX_SENDING, sending).await.is_ok() {
        seen.closed_after.set(Some(began.elapsed()));
    }
}

/// Reads a request and returns its ID, which may be empty; `None` at the end of the connection.
pub(super) async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).ok()?;
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    let length = lines.find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length = length.and_then(|(_, value)| value.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).await.ok()?;
    Some(request_id(&head).unwrap_or_default().to_owned())
}
