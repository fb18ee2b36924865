use {
    super::Traffic,
    mangowalk_core::{
        edge::{PeerError, Peers},
        peer::{PeerReply, PeerRequest},
    },
    nng::{
        Protocol, Socket,
        options::{Options, RecvMaxSize, RecvTimeout, SendTimeout, protocol::reqrep::ResendTime},
    },
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
};

/// Maximum size of a message from a peer.
const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Maximum idle sockets per peer. Each request uses its own socket, so that a
/// slow answer delays only one request.
const MAX_IDLE_SOCKETS_PER_PEER: usize = 4;

/// Threads that answer requests of peers.
const SERVER_THREADS: usize = 4;

/// Client of other instances: `nng` requests and replies, encoded with
/// `postcard`.
#[derive(Default)]
pub struct NngPeers {
    idle: Mutex<HashMap<SocketAddr, Vec<Socket>>>,
    traffic: Arc<Traffic>,
}

impl NngPeers {
    /// Returns a client that counts its messages in `traffic`.
    pub fn new(traffic: Arc<Traffic>) -> NngPeers {
        NngPeers {
            traffic,
            ..NngPeers::default()
        }
    }

    fn socket(&self, address: SocketAddr) -> Result<Socket, nng::Error> {
        let idle = self
            .idle
            .lock()
            .ok()
            .and_then(|mut idle| idle.get_mut(&address).and_then(Vec::pop));
        if let Some(socket) = idle {
            return Ok(socket);
        }
        let socket = Socket::new(Protocol::Req0)?;
        socket.set_opt::<RecvMaxSize>(MAX_MESSAGE_BYTES)?;
        // The library would send a request again on a new connection, although the peer may
        // have taken it: a grant would be deducted twice.
        socket.set_opt::<ResendTime>(None)?;
        socket.dial_async(&format!("tcp://{address}"))?;
        Ok(socket)
    }

    /// Returns a socket to the pool after a successful exchange. One that timed
    /// out is dropped instead, so that its late answer can't be read as the answer
    /// to the next request.
    fn return_to_pool(&self, address: SocketAddr, socket: Socket) {
        let Ok(mut idle) = self.idle.lock() else {
            return;
        };
        let sockets = idle.entry(address).or_default();
        if sockets.len() < MAX_IDLE_SOCKETS_PER_PEER {
            sockets.push(socket);
        }
    }
}

impl Peers for NngPeers {
    fn ask(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
        timeout_ms: u64,
    ) -> Result<PeerReply, PeerError> {
        let bytes = postcard::to_stdvec(request).map_err(|_| PeerError::Unreadable)?;
        let socket = self.socket(address).map_err(|_| PeerError::NoAnswer)?;
        let answer = exchange(&socket, &bytes, timeout_ms).map_err(|_| PeerError::NoAnswer)?;
        self.traffic.count_peer_exchange(bytes.len() + answer.len());
        self.return_to_pool(address, socket);
        postcard::from_bytes(&answer).map_err(|_| PeerError::Unreadable)
    }
}

fn exchange(socket: &Socket, bytes: &[u8], timeout_ms: u64) -> Result<nng::Message, nng::Error> {
    let timeout = Some(Duration::from_millis(timeout_ms));
    socket.set_opt::<SendTimeout>(timeout)?;
    socket.set_opt::<RecvTimeout>(timeout)?;
    socket.send(bytes).map_err(|(_, error)| error)?;
    socket.recv()
}

/// Server that answers other instances until it is dropped.
pub struct PeerServer {
    socket: Socket,
}

impl PeerServer {
    /// Starts to listen, and answers each request with `answer`, on several
    /// threads at the same time.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be listened on.
    pub fn start(
        address: SocketAddr,
        answer: impl Fn(PeerRequest) -> PeerReply + Send + Sync + 'static,
    ) -> Result<PeerServer, nng::Error> {
        let socket = Socket::new(Protocol::Rep0)?;
        socket.set_opt::<RecvMaxSize>(MAX_MESSAGE_BYTES)?;
        socket.listen(&format!("tcp://{address}"))?;
        let answer = Arc::new(answer);
        for _ in 0..SERVER_THREADS {
            let context = nng::Context::new(&socket)?;
            let answer = answer.clone();
            thread::spawn(move || serve(&context, &*answer));
        }
        Ok(PeerServer { socket })
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        self.socket.close();
    }
}

/// Receives, answers and replies on one context until the socket closes.
fn serve(context: &nng::Context, answer: &dyn Fn(PeerRequest) -> PeerReply) {
    let (wake, woken) = flume::bounded(1);
    let aio = nng::Aio::new(move |_, result| {
        let _ = wake.send(result);
    });
    let Ok(aio) = aio else { return };
    loop {
        if context.recv(&aio).is_err() {
            return;
        }
        let Ok(nng::AioResult::Recv(Ok(message))) = woken.recv() else {
            return;
        };
        let reply = match postcard::from_bytes(&message) {
            Ok(request) => answer(request),
            Err(_) => PeerReply::Unsupported,
        };
        let bytes = postcard::to_stdvec(&reply).unwrap_or_default();
        if context.send(&aio, &bytes[..]).is_err() {
            return;
        }
        if woken.recv().is_err() {
            return;
        }
    }
}
