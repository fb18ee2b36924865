use {
    super::{AnswerError, HeadFault, path::record_accepted},
    crate::{
        bounded::{
            CutReason, HeldBytes, HeldKind, MAX_READ_BUFFER_BYTES, MeteredBody, MeteredStream,
            ReadMeter,
        },
        clock::now_ms,
        instance::{GatewaySettings, Instance},
    },
    bytes::Bytes,
    derive_more::{Display, Error},
    futures_util::FutureExt,
    http::{Request, Response},
    http_body_util::Full,
    hyper::{
        body::Incoming,
        client::conn::{
            TrySendError,
            http1::{self, SendRequest},
        },
    },
    hyper_util::rt::TokioIo,
    mangowalk_core::pool::EngineEntry,
    socket2::{SockRef, TcpKeepalive},
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::{TcpSocket, TcpStream},
        task::{AbortHandle, JoinHandle},
        time::timeout,
    },
};

/// Time without traffic after which TCP keepalive probes an idle connection, and
/// the interval between its probes.
const KEEPALIVE_INTERVAL_S: u64 = 2;

/// Size of the operating system's buffer for what engines and peers send, which it doubles.
/// A larger one would hold more for a slow caller, and is of no use on a network whose
/// machines are a few milliseconds apart.
const RECEIVE_BUFFER_BYTES: usize = 32 * 1024;

/// An HTTP connection to any server. All answers that a process reads come through one.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    /// The result of the task: the stream, if it ended within an answer. `None` once taken.
    ended: Option<JoinHandle<Option<MeteredStream>>>,
    /// Counts the bytes of its answers.
    meter: Arc<ReadMeter>,
}

/// What the HTTP library makes of a request on a connection.
type Answered = Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>>;

impl Connection {
    /// Sends a request and waits for the head of its answer, which is checked.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends before the head arrives, or the head is invalid. The
    /// connection can't be used again then.
    pub fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> impl Future<Output = Result<Response<MeteredBody>, AnswerError>> {
        self.meter.begin_message();
        // An async block would hold the library's future twice, in each open request.
        let sending = self.sender.try_send_request(request);
        sending.map(|answered| self.check(answered))
    }

    fn check(&self, answered: Answered) -> Result<Response<MeteredBody>, AnswerError> {
        let response = answered.map_err(|error| self.answer_error(error))?;
        if let Some(fault) = HeadFault::of(response.status(), response.headers()) {
            self.meter.record_cut(CutReason::NoHttp);
            self.close();
            return Err(AnswerError::InvalidHead(fault));
        }
        Ok(response.map(|body| MeteredBody::new(body, self.meter.clone())))
    }

    fn answer_error(&self, mut error: TrySendError<Request<Full<Bytes>>>) -> AnswerError {
        self.meter.record_error(error.error());
        match error.take_message() {
            Some(_) => AnswerError::NotSent(error.into_error()),
            None => AnswerError::Lost(error.into_error()),
        }
    }

    /// Returns the stream of a connection whose end was that of an answer; `None` if the answer
    /// had its end before, the connection failed, or the stream was taken before. The stream is
    /// kept as a reset that comes behind the end shows only there.
    pub async fn take_ended(&mut self) -> Option<MeteredStream> {
        self.ended.take()?.await.ok().flatten()
    }

    /// Returns whether a request can be sent now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Closes the connection.
    pub fn close(&self) {
        self.task.abort();
    }
}

/// Why a connection could not be opened. No byte of a request was sent.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{address} takes no connection ({reason}).")]
pub struct ConnectError {
    /// Address of the engine or peer.
    pub address: SocketAddr,
    /// Error from the operating system or the HTTP client.
    pub reason: String,
    /// Whether nothing listens at the address.
    pub is_refused: bool,
}

/// Opens a connection to an engine, and records that its service can be reached.
///
/// # Errors
///
/// Fails if the engine doesn't accept it within [`GatewaySettings::connect_timeout_ms`].
pub async fn connect_to_engine(
    instance: &Instance,
    engine: &EngineEntry,
) -> Result<Connection, ConnectError> {
    let began_ms = now_ms();
    let connected = connect(TcpSocket::new_v4(), engine.address, instance).await?;
    record_accepted(instance, &engine.service, began_ms);
    Ok(connected)
}

/// Opens a connection to a peer from the address by which it knows this instance.
///
/// # Errors
///
/// Fails if the peer doesn't accept it within [`GatewaySettings::connect_timeout_ms`].
pub async fn connect_to_peer(
    instance: &Instance,
    address: SocketAddr,
) -> Result<Connection, ConnectError> {
    let own = SocketAddr::new(instance.machine().peer_address.ip(), 0);
    let socket = TcpSocket::new_v4().and_then(|socket| socket.bind(own).map(|()| socket));
    connect(socket, address, instance).await
}

/// Opens an HTTP/1.1 connection.
///
/// # Errors
///
/// Fails if the other side doesn't accept the connection within
/// [`GatewaySettings::connect_timeout_ms`].
async fn connect(
    socket: io::Result<TcpSocket>,
    address: SocketAddr,
    instance: &Instance,
) -> Result<Connection, ConnectError> {
    let connect_error = |reason: &dyn std::fmt::Display| ConnectError {
        address,
        reason: reason.to_string(),
        is_refused: false,
    };
    let settings = &instance.settings;
    let connect_timeout = Duration::from_millis(settings.connect_timeout_ms);
    let socket = socket.map_err(|error| connect_error(&error))?;
    SockRef::from(&socket)
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .map_err(|error| connect_error(&error))?;
    let stream = timeout(connect_timeout, socket.connect(address))
        .await
        .map_err(|_| connect_error(&"time ran out"))?
        .map_err(|error| ConnectError {
            is_refused: error.kind() == io::ErrorKind::ConnectionRefused,
            ..connect_error(&error)
        })?;
    set_timeouts(&stream, settings).map_err(|error| connect_error(&error))?;
    let connection = handshake(stream, &instance.held).await;
    connection.map_err(|error| connect_error(&error))
}

/// Begins to speak HTTP on a connection, whose answers are bounded and counted.
///
/// # Errors
///
/// Fails if the connection has ended.
pub async fn handshake(stream: TcpStream, held: &Arc<HeldBytes>) -> hyper::Result<Connection> {
    let meter = Arc::new(ReadMeter::new(
        held.hold(HeldKind::Received),
        MAX_READ_BUFFER_BYTES,
    ));
    let stream = MeteredStream::new(stream, meter.clone());
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_READ_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await?;
    let task = tokio::spawn(async move {
        // The sender reports an error to whoever awaits an answer.
        let parts = connection.without_shutdown().await.ok()?;
        let stream = parts.io.into_inner();
        stream.has_ended_in_message().then_some(stream)
    });
    Ok(Connection {
        sender,
        task: task.abort_handle(),
        ended: Some(task),
        meter,
    })
}

/// Sets the TCP timeouts that end a connection whose peer is gone without a reset.
///
/// The user timeout ends one with unacknowledged bytes. On an idle one it also decides
/// when keepalive gives up, whatever the number of probes: at the first interval after an
/// unanswered probe by which nothing has come for the user timeout, about twice
/// [`KEEPALIVE_INTERVAL_S`] after the last byte. Engines that are silent for a second
/// keep their connections.
fn set_timeouts(stream: &TcpStream, settings: &GatewaySettings) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(Duration::from_millis(settings.tcp_user_timeout_ms)))?;
    let idle = Duration::from_secs(KEEPALIVE_INTERVAL_S);
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(idle).with_interval(idle))
}
