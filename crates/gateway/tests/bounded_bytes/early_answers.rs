use {
    super::{
        fake_engine::read_request,
        gateway::{Gateway, Reply, run},
        scripted_upstream::Ending,
    },
    http::Request,
    http_body_util::{BodyExt, Full},
    mangowalk_core::routing::RetryPolicy,
    mangowalk_gateway::instance::GatewaySettings,
    mangowalk_platform_standins::{ANSWER_FIELDS, EARLY_ANSWERS, EarlyAnswer},
    std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpSocket, TcpStream},
        task::spawn_local,
        time::sleep,
    },
};

/// ID of all requests.
const ID: &str = "7a";

/// Body of all sound answers, one event.
const SOUND: &str = "data: sound\n\n";

/// Size of the buffer in which the operating system holds an upload for an upstream.
const RECEIVE_BUFFER_BYTES: u32 = 4 * 1024;

/// Sizes of uploads; the longest ones are still being written when the answer ends.
const UPLOAD_BYTES: [usize; 3] = [10_000, 400_000, 1_900_000];

/// An upstream that answers the first request before it has read its body, and others with a
/// sound answer.
#[derive(Debug, Clone, Copy)]
struct EarlyUpstream {
    answer: EarlyAnswer,
    /// Bytes of the upload that are read before the answer.
    read_bytes: usize,
    /// Time from the answer to the end of the connection.
    pause: Duration,
    ending: Ending,
}

impl EarlyUpstream {
    /// Returns each answer with each end of its connection.
    fn all() -> impl Iterator<Item = EarlyUpstream> {
        EARLY_ANSWERS.into_iter().flat_map(|answer| {
            let upstream = move |(ending, pause_ms, read_bytes)| EarlyUpstream {
                answer,
                read_bytes,
                pause: Duration::from_millis(pause_ms),
                ending,
            };
            [
                (Ending::InOrder, 0, 0),
                (Ending::Reset, 0, 0),
                (Ending::InOrder, 30, 5_000),
                (Ending::Reset, 30, 0),
                (Ending::Reset, 30, 5_000),
            ]
            .map(upstream)
        })
    }

    async fn start(self, requests: Rc<Cell<usize>>) -> SocketAddr {
        let socket = TcpSocket::new_v4().expect("a socket is free");
        let sized = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
        sized.expect("the size is valid");
        let bound = socket.bind("127.0.0.1:0".parse().expect("an address"));
        bound.expect("a free port");
        let listener = socket.listen(16).expect("it is bound");
        let address = listener.local_addr().expect("it is bound");
        spawn_local(self.accept(listener, requests));
        address
    }

    async fn accept(self, listener: TcpListener, requests: Rc<Cell<usize>>) {
        while let Ok((stream, _)) = listener.accept().await {
            let requests = requests.clone();
            spawn_local(async move {
                let mut first = [0; 1];
                let is_upload = stream.peek(&mut first).await.is_ok() && first == *b"P";
                if is_upload {
                    requests.set(requests.get() + 1);
                }
                match is_upload && requests.get() == 1 {
                    true => self.answer_early(stream).await,
                    false => answer(stream).await,
                }
            });
        }
    }

    async fn answer_early(self, mut stream: TcpStream) {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.expect("the head arrives"));
        }
        let read = stream.read_exact(&mut vec![0; self.read_bytes]).await;
        read.expect("the upload goes on");
        let fields = ANSWER_FIELDS.replace("{id}", ID);
        let answer = self
            .answer
            .part(&format!("{fields}Content-Type: text/event-stream\r\n"));
        // The router may have closed the connection at a part of the answer.
        let _ = stream.write_all(answer.as_bytes()).await;
        sleep(self.pause).await;
        self.ending.apply(stream);
    }
}

/// Answers requests, and with them calls for the engine's report.
async fn answer(mut stream: TcpStream) {
    let fields = ANSWER_FIELDS.replace("{id}", ID);
    let head = format!("HTTP/1.1 200 OK\r\n{fields}Content-Type: text/event-stream\r\n");
    let answer = format!("{head}Content-Length: {}\r\n\r\n{SOUND}", SOUND.len());
    while read_request(&mut stream).await.is_some() {
        let _ = stream.write_all(answer.as_bytes()).await;
    }
}

async fn upload(retry: RetryPolicy, upstream: EarlyUpstream, bytes: usize) -> (Reply, usize) {
    let requests = Rc::new(Cell::new(0));
    let addresses = [
        upstream.start(requests.clone()).await,
        upstream.start(requests.clone()).await,
    ];
    let gateway = Gateway::start(retry, &addresses, GatewaySettings::default()).await;
    let reply = gateway.upload(ID, bytes).await;
    (reply, requests.get())
}

/// Guards against a part of an answer being taken for a whole one after its engine has reset
/// the connection on which the request is still being written.
#[test]
fn early_answers_that_break_off_are_lost() {
    for (upstream, bytes) in EarlyUpstream::all().flat_map(|all| UPLOAD_BYTES.map(|b| (all, b))) {
        for retry in [RetryPolicy::AtMostOnce, RetryPolicy::Stream] {
            run(async || {
                let (reply, requests) = upload(retry, upstream, bytes).await;
                let text = String::from_utf8_lossy(&reply.bytes);
                let place = format!("{retry:?} {bytes} {upstream:?}: {text}");
                // The head of a stream may have been forwarded before it broke off.
                let is_cut = reply.status() == 502 || reply.body().is_none();
                assert!(is_cut, "{place}");
                assert_eq!(requests, 1, "{place}");
                assert!(
                    retry == RetryPolicy::Stream || reply.status() == 502,
                    "{place}"
                );
            });
        }
        run(async || {
            let (reply, requests) = upload(RetryPolicy::Idempotent, upstream, bytes).await;
            let place = format!("{bytes} {upstream:?}: {reply:?}");
            assert_eq!(reply.body().as_deref(), Some(SOUND), "{place}");
            assert_eq!(requests, 2, "{place}");
        });
    }
}

/// Guards against the same where a peer sends the part.
#[test]
fn early_answers_of_peers_that_break_off_are_lost() {
    for (upstream, bytes) in EarlyUpstream::all().flat_map(|all| UPLOAD_BYTES.map(|b| (all, b))) {
        run(async || {
            let address = upstream.start(Rc::default()).await;
            let settings = GatewaySettings::default();
            let gateway = Gateway::start(RetryPolicy::Idempotent, &[], settings).await;
            let build = || {
                let body = Full::from(vec![b'x'; bytes]);
                Request::post("/a/1").body(body).expect("it is a request")
            };
            let answer = gateway.ask_peer(address, build).await;
            let is_whole = match answer {
                Ok(answer) => {
                    let is_framed = !answer.ends_with_connection;
                    let body = answer.body.collect().await;
                    // A peer frames all its answers, so that any other one counts as cut.
                    body.is_ok() && is_framed
                }
                Err(_) => false,
            };
            assert!(!is_whole, "{bytes} {upstream:?}");
        });
    }
}
