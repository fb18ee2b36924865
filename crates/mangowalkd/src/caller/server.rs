use {
    super::{
        body::malformed, condemned::Condemned, framing, handler::Handler, listener, reply::Head,
        request_id,
    },
    crate::serve::{Router, spread_ms},
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

/// Stack of a thread that serves one request.
const REQUEST_STACK_BYTES: usize = 512 << 10;

/// Stack of a thread that refuses one request.
const REFUSAL_STACK_BYTES: usize = 64 << 10;

/// When a caller should come back at the earliest if every thread is taken.
const FULL_RETRY_MS: u64 = 1_000;

/// Pause between two looks at whether to stop.
const POLL: Duration = Duration::from_millis(100);

/// Knocks within one read timeout.
const KNOCKS: u32 = 4;

/// Read timeouts for which a condemned connection is remembered.
const CONDEMNED_TIMEOUTS: u64 = 3;

/// Looks without a request after which a server that was replaced ends.
const LAST_LOOKS: u32 = 6_000;

/// Listens to callers and serves each request on a thread of its own.
pub struct CallerServer {
    address: SocketAddr,
}

impl CallerServer {
    /// Starts to listen.
    ///
    /// # Errors
    ///
    /// Fails where the address is in use.
    pub fn start<E: Edges>(router: Arc<Router<E>>) -> io::Result<CallerServer> {
        let settings = router.settings();
        let timeout = Duration::from_millis(settings.caller_timeout_ms);
        let listener = listener::listen(settings.caller_address, timeout)?;
        let address = listener.local_addr()?;
        let callers = Arc::new(Callers {
            listener,
            router,
            condemned: Condemned::default(),
        });
        let first = callers.server()?;
        let knocking = callers.clone();
        thread::Builder::new()
            .name("callers-knock".to_owned())
            .spawn(move || knocking.knock(address, timeout / KNOCKS))?;
        callers.spawn(first)?;
        Ok(CallerServer { address })
    }

    /// Returns the address listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

struct Callers<E: Edges> {
    listener: TcpListener,
    router: Arc<Router<E>>,
    condemned: Condemned,
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

    fn is_stopped(&self) -> bool {
        self.router.shared().lifecycle.is_stopped()
    }

    /// Hands out requests until the instance stops.
    ///
    /// A server that meets an error in `accept` (no descriptor left, or no
    /// connection within the read timeout) accepts no more for good. Another
    /// takes its place on the same listener, and the connections that wait
    /// there are kept. The old one still brings the requests of its open
    /// connections.
    fn serve(self: &Arc<Self>, server: &tiny_http::Server) {
        let mut is_ended = false;
        let mut is_replaced = false;
        let mut idle_looks = 0;
        while !self.is_stopped() && idle_looks < LAST_LOOKS {
            match server.recv_timeout(POLL) {
                Ok(Some(request)) => {
                    idle_looks = 0;
                    self.dispatch(request);
                }
                Ok(None) => idle_looks += u32::from(is_replaced),
                Err(error) => {
                    info!("callers: Accepting ended and begins anew. {error}.");
                    is_ended = true;
                }
            }
            if is_ended && !is_replaced {
                is_replaced = self.replace();
            }
        }
    }

    fn replace(self: &Arc<Self>) -> bool {
        let replaced = self.server().and_then(|server| self.spawn(server));
        if let Err(error) = &replaced {
            warn!("callers: No new server yet. {error}; raise the limit of open files.");
        }
        replaced.is_ok()
    }

    fn knock(&self, address: SocketAddr, period: Duration) {
        while !self.is_stopped() {
            thread::sleep(period);
            listener::knock(address);
        }
    }

    /// Checks the framing of a request.
    ///
    /// This happens here, in the order in which one connection's requests
    /// came: on threads of their own, a hidden request might be served before
    /// the doubtful one in front of it is refused.
    fn check(&self, request: &Request) -> Result<(), Refusal> {
        let now_ms = self.router.now_ms();
        let keep_ms = self.router.settings().caller_timeout_ms * CONDEMNED_TIMEOUTS;
        let caller = request.remote_addr();
        if self.condemned.holds(caller, keep_ms, now_ms) {
            return Err(malformed(
                "This connection sent a doubtful length; open another.".to_owned(),
            ));
        }
        framing::check(request).inspect_err(|_| self.condemned.add(caller, now_ms))
    }

    /// Serves or refuses a request on a thread of its own. Neither happens
    /// here: a caller that reads or sends slowly would hold up every other.
    fn dispatch(self: &Arc<Self>, request: Request) {
        let refused = self.check(&request).err();
        let callers = self.clone();
        let most = self.router.settings().max_open_requests;
        let spawned = match self.router.shared().lifecycle.open(most) {
            Some(guard) => thread::Builder::new()
                .name("request".to_owned())
                .stack_size(REQUEST_STACK_BYTES)
                .spawn(move || {
                    let _guard = guard;
                    Handler::new(&callers.router, &callers.condemned, &request)
                        .handle(request, refused);
                }),
            None => thread::Builder::new()
                .name("refusal".to_owned())
                .stack_size(REFUSAL_STACK_BYTES)
                .spawn(move || refuse_full(request)),
        };
        if let Err(error) = spawned {
            warn!("callers: No thread for a request. {error}; raise the limit of threads.");
        }
    }
}

fn refuse_full(request: Request) {
    let refusal = Refusal::Unavailable {
        reason: "This instance serves as many requests as it may",
        retry_ms: spread_ms(FULL_RETRY_MS),
    };
    Head::of(&request_id::draw()).refuse(request, &refusal);
}
