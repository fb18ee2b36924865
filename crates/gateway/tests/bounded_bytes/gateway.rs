use {
    bytes::Bytes,
    http::Request,
    http_body_util::Full,
    mangowalk_core::{
        pool::{EngineEntry, Incarnation},
        routing::{Configuration, RetryPolicy, Route, RouteTable, Service, WeightedService},
    },
    mangowalk_gateway::{
        callers::serve_callers,
        instance::{Drain, GatewaySettings, Instance},
        now_ms,
        upstreams::{Answer, ConnectionPool, Destination, SendError, send},
    },
    mangowalk_platform::decode_settings,
    mangowalk_platform_standins::request_fields,
    std::{
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpSocket, TcpStream},
        runtime,
        sync::watch,
        task::{LocalSet, spawn_local},
        time::{sleep, timeout},
    },
};

const SETTINGS: &str = "NodeName=m\nIp=127.0.0.1\nZone=a\nRegion=r\n\
    Listen.Front=127.0.0.1:1\nListen.Ready=127.0.0.1:2\nListen.Directory=127.0.0.1:3\n\
    InternalPorts=7600,7615\nLimits.MaxFds=1000\nProvider.Address=127.0.0.1:4\n\
    Bounds.RetryBudget=1\nBounds.RetrySlack=50\nLimits.MemoryMb=88\n";

/// Deadline of all requests.
pub(super) const DEADLINE: Duration = Duration::from_millis(2_500);

/// Size of the operating system's buffer of a caller that reads slowly.
const SLOW_BUFFER_BYTES: u32 = 8 * 1024;

/// Time after which a caller stops reading.
const MAX_READING: Duration = Duration::from_secs(6);

/// Bytes after which a caller stops reading.
const MAX_READ_BYTES: usize = 80 << 20;

/// A gateway that serves callers on the loopback interface.
pub(super) struct Gateway {
    pub(super) instance: Rc<Instance>,
    pub(super) address: SocketAddr,
    _drain: watch::Sender<Drain>,
}

/// What a caller got.
#[derive(Debug)]
pub(super) struct Reply {
    pub(super) bytes: Vec<u8>,
    pub(super) took: Duration,
    /// Whether the connection ended in time.
    pub(super) has_ended: bool,
}

impl Reply {
    /// Returns the status; 0 if there is none.
    pub(super) fn status(&self) -> u16 {
        let line = self.bytes.get(9..12).unwrap_or_default();
        let status = std::str::from_utf8(line).ok();
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns whether a body in chunks has its end.
    pub(super) fn has_last_chunk(&self) -> bool {
        self.bytes.ends_with(b"0\r\n\r\n")
    }

    /// Returns the body, or `None` if it isn't complete.
    pub(super) fn body(&self) -> Option<String> {
        let body = complete_body(&self.bytes)?;
        Some(String::from_utf8_lossy(&body).into_owned())
    }
}

/// Returns the body of an answer as its head frames it, or `None` if it isn't complete. A body
/// that ends with its connection may always be cut.
pub(super) fn complete_body(answer: &[u8]) -> Option<Vec<u8>> {
    let end = answer.windows(4).position(|bytes| bytes == b"\r\n\r\n")? + 4;
    let head = std::str::from_utf8(&answer[..end]).ok()?;
    let body = &answer[end..];
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    if let Some(length) = length {
        return (length.parse() == Ok(body.len())).then(|| body.to_vec());
    }
    let is_chunked = head.contains("\r\ntransfer-encoding: chunked\r\n");
    is_chunked.then(|| join_chunks(body)).flatten()
}

fn join_chunks(mut chunks: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let end = chunks.windows(2).position(|bytes| bytes == b"\r\n")?;
        let size = std::str::from_utf8(&chunks[..end]).ok()?;
        let size = usize::from_str_radix(size, 16).ok()?;
        let data = chunks.get(end + 2..end + 2 + size)?;
        let rest = chunks[end + 2 + size..].strip_prefix(b"\r\n")?;
        if size == 0 {
            return rest.is_empty().then_some(body);
        }
        body.extend_from_slice(data);
        chunks = rest;
    }
}

impl Gateway {
    /// Starts a gateway with one route of a service, and engines at these addresses.
    pub(super) async fn start(
        retry: RetryPolicy,
        engines: &[SocketAddr],
        settings: GatewaySettings,
    ) -> Gateway {
        let machine = decode_settings(SETTINGS).expect("the settings are complete");
        let (sender, drain) = Drain::channel();
        let instance = Instance::new(machine, settings, 1, drain);
        *instance.routes.borrow_mut() = Rc::new(RouteTable::new(configuration(retry)));
        for (index, address) in engines.iter().enumerate() {
            let mut known = instance.engines.borrow_mut();
            known.apply_entry(engine_entry(index, *address));
        }
        instance.is_engine_list_read.set(true);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let pool = Rc::new(ConnectionPool::default());
        spawn_local(serve_callers(instance.clone(), pool, listener));
        spawn_local(lend_retries(instance.clone()));
        Gateway {
            instance,
            address,
            _drain: sender,
        }
    }

    /// Connects with a small buffer for what is received, and sends a request.
    pub(super) async fn send_slowly(&self, id: &str) -> TcpStream {
        let socket = TcpSocket::new_v4().expect("a socket is free");
        let sized = socket.set_recv_buffer_size(SLOW_BUFFER_BYTES);
        sized.expect("the size is valid");
        let connected = socket.connect(self.address).await;
        self.send(connected.expect("the gateway listens"), id).await
    }

    /// Sends a request on a connection.
    pub(super) async fn send(&self, stream: TcpStream, id: &str) -> TcpStream {
        self.send_by(stream, "GET", id).await
    }

    /// Sends a request to a peer at this address.
    ///
    /// # Errors
    ///
    /// Fails if the peer's answer is lost.
    pub(super) async fn ask_peer(
        &self,
        address: SocketAddr,
        build_request: impl Fn() -> Request<Full<Bytes>>,
    ) -> Result<Answer, SendError> {
        let incarnation = Incarnation {
            id: "p".to_owned(),
            born_ms: 1,
        };
        let destination = Destination::Peer {
            incarnation: &incarnation,
            address,
        };
        let pool = Rc::new(ConnectionPool::default());
        send(&self.instance, &pool, destination, build_request).await
    }

    /// Sends a request with a body in chunks, and reads the answer meanwhile.
    pub(super) async fn upload(&self, id: &str, bytes: usize) -> Reply {
        let began = Instant::now();
        let connected = TcpStream::connect(self.address).await;
        let (mut reader, mut writer) = connected.expect("the gateway listens").into_split();
        let head = format!(
            "POST /a/1 HTTP/1.1\r\nHost: shop.example\r\n{}Transfer-Encoding: chunked\r\n\
             Connection: close\r\n\r\n{bytes:x}\r\n",
            request_fields(id, DEADLINE.as_millis()),
        );
        let request = [head.as_bytes(), &vec![b'x'; bytes], b"\r\n0\r\n\r\n"].concat();
        spawn_local(async move {
            // The gateway may answer before it has read the whole request.
            let _ = writer.write_all(&request).await;
            sleep(MAX_READING).await;
        });
        let mut answer = Vec::new();
        let read = timeout(MAX_READING, reader.read_to_end(&mut answer)).await;
        Reply {
            took: began.elapsed(),
            has_ended: read.is_ok(),
            bytes: answer,
        }
    }

    async fn send_by(&self, mut stream: TcpStream, method: &str, id: &str) -> TcpStream {
        let request = format!(
            "{method} /a/1 HTTP/1.1\r\nHost: shop.example\r\n{}Connection: close\r\n\r\n",
            request_fields(id, DEADLINE.as_millis()),
        );
        stream
            .write_all(request.as_bytes())
            .await
            .expect("the gateway reads");
        stream
    }

    /// Sends a request and reads the answer to the end of its connection.
    pub(super) async fn ask(&self, id: &str) -> Reply {
        self.ask_by("GET", id).await
    }

    /// Sends a request with this method and reads the answer to the end of its connection.
    pub(super) async fn ask_by(&self, method: &str, id: &str) -> Reply {
        let began = Instant::now();
        let connected = TcpStream::connect(self.address).await;
        let stream = connected.expect("the gateway listens");
        let mut stream = self.send_by(stream, method, id).await;
        let mut bytes = Vec::new();
        let mut limited = (&mut stream).take(MAX_READ_BYTES as u64);
        let read = timeout(MAX_READING, limited.read_to_end(&mut bytes)).await;
        Reply {
            took: began.elapsed(),
            has_ended: read.is_ok(),
            bytes,
        }
    }
}

/// Lends retries, as an instance that has just started has none of its own.
async fn lend_retries(instance: Rc<Instance>) {
    loop {
        instance.receive_loan("desk", 5.0, now_ms());
        sleep(Duration::from_millis(200)).await;
    }
}

fn configuration(retry: RetryPolicy) -> Configuration {
    Configuration {
        version: 1,
        routes: vec![Route {
            name: "a".to_owned(),
            host: "shop.example".to_owned(),
            path_prefix: "/a/".to_owned(),
            services: vec![WeightedService {
                service: "desk".to_owned(),
                weight: 1,
            }],
            retry,
            timeout_ms: 10_000,
            target_ms: 500,
            target_gap_ms: 500,
            max_attempts: 2,
            priority: 0,
            anonymous: true,
        }],
        services: vec![Service {
            name: "desk".to_owned(),
            max_connections: 100,
            engine: None,
            cache_store: None,
        }],
        ..Configuration::default()
    }
}

/// Returns the entry of an engine at this address.
pub(super) fn engine_entry(index: usize, address: SocketAddr) -> EngineEntry {
    EngineEntry {
        incarnation: Incarnation {
            id: format!("e{index}"),
            born_ms: 1,
        },
        revision: 1,
        service: "desk".to_owned(),
        software: "v1".to_owned(),
        address,
        domain: "a".to_owned(),
        slots: 8,
        draining: false,
        models: Vec::new(),
        cold_left_ms: 0,
    }
}

/// Runs a test on an event loop of its own.
pub(super) fn run(test: impl AsyncFnOnce()) {
    let event_loop = runtime::Builder::new_current_thread().enable_all().build();
    let event_loop = event_loop.expect("the runtime starts");
    LocalSet::new().block_on(&event_loop, test());
}
