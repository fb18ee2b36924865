use {
    super::{error, handler::Handler},
    crate::serve::Router,
    log::warn,
    mangowalk_core::{edge::Edges, refusal::Refusal},
    std::{
        io,
        net::{SocketAddr, TcpListener},
        sync::Arc,
        thread,
        time::Duration,
    },
};

/// Stack of a thread that serves one request.
const REQUEST_STACK_BYTES: usize = 512 << 10;

/// When a caller should come back if every thread is taken.
const FULL_RETRY_MS: u64 = 1_000;

/// Pause between two looks at whether to stop.
const POLL: Duration = Duration::from_millis(100);

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
        let listener = TcpListener::bind(router.settings().caller_address)?;
        let address = listener.local_addr()?;
        let server = tiny_http::Server::from_listener(listener, None).map_err(io::Error::other)?;
        thread::Builder::new()
            .name("callers".to_owned())
            .spawn(move || accept(&server, &router))?;
        Ok(CallerServer { address })
    }

    /// Returns the address listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

fn accept<E: Edges>(server: &tiny_http::Server, router: &Arc<Router<E>>) {
    while !router.board().life.is_stopped() {
        match server.recv_timeout(POLL) {
            Ok(Some(request)) => dispatch(request, router),
            Ok(None) => {}
            Err(error) => warn!("callers: A connection failed. {error}"),
        }
    }
}

fn dispatch<E: Edges>(request: tiny_http::Request, router: &Arc<Router<E>>) {
    let most = router.settings().max_open_requests;
    let Some(guard) = router.board().life.open(most) else {
        let refusal = Refusal::Unavailable {
            reason: "This instance serves as many requests as it may",
            retry_ms: FULL_RETRY_MS,
        };
        return error::respond(request, &refusal, "");
    };
    let router = router.clone();
    let spawned = thread::Builder::new()
        .name("request".to_owned())
        .stack_size(REQUEST_STACK_BYTES)
        .spawn(move || {
            let _guard = guard;
            Handler::new(&router).handle(request);
        });
    if let Err(error) = spawned {
        warn!("callers: No thread for a request. {error}");
    }
}
