use {
    super::{
        body::malformed, framing, handler::Handler, listener, reply::ResponseHeaders, request_id,
        untrusted::UntrustedConnections,
    },
    crate::serve::{Router, jittered_ms},
    log::{info, warn},
    mangowalk_core::{edge::Edges, refusal::Refusal},
    std::{
        io,
        net::{SocketAddr, TcpListener},
        sync::Arc,
        thread,
        time::Duration,
    },
    tiny_http::Request,
};

/// Stack size of a thread that serves one request.
const REQUEST_STACK_BYTES: usize = 512 << 10;

/// Stack size of a thread that refuses one request.
const REFUSAL_STACK_BYTES: usize = 64 << 10;

/// Minimum time after which a caller should retry if the limit of open requests
/// is reached.
const MIN_OVERLOAD_RETRY_MS: u64 = 1_000;

/// Interval at which a server checks whether to stop.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Connections that wake `accept` within one read timeout.
const WAKES_PER_TIMEOUT: u32 = 4;

/// Read timeouts after which an untrusted connection is forgotten.
const UNTRUSTED_TIMEOUTS: u64 = 3;

/// Polls without a request after which a replaced server ends.
const MAX_IDLE_POLLS: u32 = 6_000;

/// HTTP server for callers. It serves each request on its own thread.
pub struct CallerServer {
    address: SocketAddr,
}

impl CallerServer {
    /// Starts to listen on the callers' address of the settings.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use or a thread can't be started.
    pub fn start<E: Edges>(router: Arc<Router<E>>) -> io::Result<CallerServer> {
        let settings = router.settings();
        let timeout = Duration::from_millis(settings.caller_timeout_ms);
        let listener = listener::listen(settings.caller_address, timeout)?;
        let address = listener.local_addr()?;
        let callers = Arc::new(Callers {
            listener,
            router,
            untrusted: UntrustedConnections::default(),
            address,
        });
        let first = callers.server()?;
        let waker = callers.clone();
        thread::Builder::new()
            .name("callers-knock".to_owned())
            .spawn(move || waker.wake_accept(address, timeout / WAKES_PER_TIMEOUT))?;
        callers.spawn(first)?;
        Ok(CallerServer { address })
    }

    /// Returns the address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// State that the servers of one listener share.
struct Callers<E: Edges> {
    listener: TcpListener,
    router: Arc<Router<E>>,
    untrusted: UntrustedConnections,
    address: SocketAddr,
}

impl<E: Edges> Callers<E> {
    /// Returns a new server on the same listener.
    fn server(&self) -> io::Result<tiny_http::Server> {
        let listener = self.listener.try_clone()?;
        tiny_http::Server::from_listener(listener, None).map_err(io::Error::other)
    }

    fn spawn(self: &Arc<Self>, server: tiny_http::Server) -> io::Result<()> {
        let callers = self.clone();
        thread::Builder::new()
            .name("callers".to_owned())
            .spawn(move || callers.serve(&server))
            .map(|_| ())
    }

    fn handler(&self, request: &Request) -> Handler<'_, E> {
        Handler::new(&self.router, &self.untrusted, self.address, request)
    }

    fn is_stopped(&self) -> bool {
        self.router.shared().lifecycle.is_stopped()
    }

    /// Dispatches the requests of one server until the instance stops.
    ///
    /// After an error in `accept` (no file descriptor left, or no connection
    /// within the read timeout), a server never accepts again. A new one
    /// replaces it on the same listener, so the connections that wait there are
    /// kept. The old one still delivers the requests of its open connections.
    fn serve(self: &Arc<Self>, server: &tiny_http::Server) {
        let mut is_ended = false;
        let mut is_replaced = false;
        let mut idle_polls = 0;
        while !self.is_stopped() && idle_polls < MAX_IDLE_POLLS {
            match server.recv_timeout(POLL_INTERVAL) {
                Ok(Some(request)) => {
                    idle_polls = 0;
                    self.dispatch(request);
                }
                Ok(None) => idle_polls += u32::from(is_replaced),
                Err(error) => {
                    info!(
                        "callers: A server stopped accepting connections and is replaced. {error}."
                    );
                    is_ended = true;
                }
            }
            if is_ended && !is_replaced {
                is_replaced = self.replace();
            }
        }
    }

    /// Starts a new server on the same listener. Returns whether that succeeded.
    fn replace(self: &Arc<Self>) -> bool {
        let replaced = self.server().and_then(|server| self.spawn(server));
        if let Err(error) = &replaced {
            warn!(
                "callers: The server could not be replaced yet. {error}; raise the limit of open files."
            );
        }
        replaced.is_ok()
    }

    /// Wakes `accept` once per `period`, until the instance stops.
    fn wake_accept(&self, address: SocketAddr, period: Duration) {
        while !self.is_stopped() {
            thread::sleep(period);
            listener::wake_accept(address);
        }
    }

    /// Checks the framing of a request.
    ///
    /// This runs on the server's thread, in the order in which the requests of
    /// one connection arrive. On separate threads, a smuggled request might be
    /// served before the ambiguous one in front of it is refused.
    fn check(&self, request: &Request) -> Result<(), Refusal> {
        let now_ms = self.router.now_ms();
        let retention_ms = self.router.settings().caller_timeout_ms * UNTRUSTED_TIMEOUTS;
        let caller = request.remote_addr();
        if self.untrusted.contains(caller, retention_ms, now_ms) {
            return Err(malformed(
                "This connection sent a doubtful length; open another.".to_owned(),
            ));
        }
        framing::check(request).inspect_err(|_| self.untrusted.add(caller, now_ms))
    }

    /// Serves or refuses a request on its own thread. On the server's thread, a
    /// caller that reads or sends slowly would block all others.
    fn dispatch(self: &Arc<Self>, request: Request) {
        let refused = self.check(&request).err();
        let callers = self.clone();
        let max_open_requests = self.router.settings().max_open_requests;
        let spawned = match self.router.shared().lifecycle.try_open(max_open_requests) {
            Some(guard) => thread::Builder::new()
                .name("request".to_owned())
                .stack_size(REQUEST_STACK_BYTES)
                .spawn(move || {
                    let _guard = guard;
                    callers.handler(&request).handle(request, refused);
                }),
            None => thread::Builder::new()
                .name("refusal".to_owned())
                .stack_size(REFUSAL_STACK_BYTES)
                .spawn(move || refuse_overload(request)),
        };
        if let Err(error) = spawned {
            warn!(
                "callers: No thread could be started for a request. {error}; raise the limit of threads."
            );
        }
    }
}

fn refuse_overload(request: Request) {
    let refusal = Refusal::Unavailable {
        reason: "This instance serves as many requests as it may",
        retry_ms: jittered_ms(MIN_OVERLOAD_RETRY_MS),
    };
    ResponseHeaders::of(&request_id::generate()).refuse(request, &refusal);
}
