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
    /// Time between the end of what is sent and a reset; `None` to close both directions at once.
    half_closed: Option<Duration>,
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
                half_closed: None,
            };
            let half_closed = move |reset_after_ms| EarlyUpstream {
                half_closed: Some(Duration::from_millis(reset_after_ms)),
                ..upstream((Ending::Reset, 0, 0))
            };
            let closed = [
                (Ending::InOrder, 0, 0),
                (Ending::Reset, 0, 0),
                (Ending::InOrder, 30, 5_000),
                (Ending::Reset, 30, 0),
                (Ending::Reset, 30, 5_000),
            ];
            let closed = closed.map(upstream).into_iter();
            closed.chain([0, 5, 50].map(half_closed))
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
        if let Some(half_closed) = self.half_closed {
            // Fails if the router has closed the connection.
            let _ = stream.shutdown().await;
            sleep(half_closed).await;
        }
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

/// Guards against the same where a peer sends the part, and against whole answers of peers being
/// refused with it.
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
            let is_whole = async || match gateway.ask_peer(address, build).await {
                Ok(answer) => {
                    let is_framed = !answer.ends_with_connection;
                    let body = answer.body.collect().await;
                    // A peer frames all its answers, so that any other one counts as cut.
                    body.is_ok() && is_framed
                }
                Err(_) => false,
            };
            assert!(!is_whole().await, "{bytes} {upstream:?}");
            assert!(is_whole().await, "{bytes} {upstream:?}");
        });
    }
}

/// Time that an upstream takes for a report, longer than it takes to reset a connection.
const REPORT_TIME: Duration = Duration::from_millis(30);

/// Time from the end of what an upstream sends to a reset.
const RESET_TIME: Duration = Duration::from_millis(5);

/// An upstream that reads each upload whole and ends its answer with its connection: in order,
/// or with a reset behind the end.
async fn start_closing_upstream(resets: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            spawn_local(async move {
                let mut first = [0; 1];
                let is_upload = stream.peek(&mut first).await.is_ok() && first == *b"P";
                if !is_upload {
                    sleep(REPORT_TIME).await;
                    return answer(stream).await;
                }
                read_request(&mut stream).await;
                let fields = ANSWER_FIELDS.replace("{id}", ID);
                let head =
                    format!("HTTP/1.1 200 OK\r\n{fields}Content-Type: text/event-stream\r\n");
                // The router waits for the answer and its end.
                let _ = stream
                    .write_all(format!("{head}\r\n{SOUND}").as_bytes())
                    .await;
                if resets {
                    let _ = stream.shutdown().await;
                    sleep(RESET_TIME).await;
                    Ending::Reset.apply(stream);
                }
            });
        }
    });
    address
}

/// Returns what callers get of such an upstream, by upload and route.
fn uploads_to_closing_upstream(resets: bool) -> Vec<(String, Reply)> {
    let mut replies = Vec::new();
    for bytes in UPLOAD_BYTES {
        for retry in [
            RetryPolicy::AtMostOnce,
            RetryPolicy::Stream,
            RetryPolicy::Idempotent,
        ] {
            run(async || {
                let address = start_closing_upstream(resets).await;
                let gateway = Gateway::start(retry, &[address], GatewaySettings::default()).await;
                let reply = gateway.upload(ID, bytes).await;
                replies.push((format!("{retry:?} {bytes}: {reply:?}"), reply));
            });
        }
    }
    replies
}

/// Guards against answers of upstreams that have read the whole upload being refused together
/// with the early ones.
#[test]
fn answers_that_end_with_their_connection_after_an_upload_are_whole() {
    for (place, reply) in uploads_to_closing_upstream(false) {
        assert_eq!(reply.status(), 200, "{place}");
        assert_eq!(reply.body().as_deref(), Some(SOUND), "{place}");
    }
}

/// Guards against an answer being taken for a whole one whose engine resets the connection
/// while it is asked whether it has ended it.
#[test]
fn answers_whose_connection_is_reset_behind_their_end_are_lost() {
    for (place, reply) in uploads_to_closing_upstream(true) {
        assert!(reply.status() == 502 || reply.body().is_none(), "{place}");
    }
}
