use {
    super::handler::handle,
    crate::shared_state::SharedState,
    log::warn,
    mangowalk_core::edge::{Clock, Edges},
    std::{
        io,
        net::{SocketAddr, TcpListener},
        sync::Arc,
        thread,
        time::Duration,
    },
};

/// Threads that answer operators. There are few of them, so that a script that
/// sends too many requests waits and takes no resources from callers.
const THREADS: usize = 2;

/// Interval at which a thread checks whether the instance stopped.
const STOP_POLL: Duration = Duration::from_millis(100);

/// HTTP server for operators. It runs until the instance stops.
pub struct OperatorServer {
    address: SocketAddr,
}

impl OperatorServer {
    /// Starts to listen.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be listened on or a thread can't be
    /// created.
    pub fn start<E: Edges>(
        address: SocketAddr,
        edges: &Arc<E>,
        shared: &Arc<SharedState>,
    ) -> io::Result<OperatorServer> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let server = tiny_http::Server::from_listener(listener, None).map_err(io::Error::other)?;
        let server = Arc::new(server);
        for _ in 0..THREADS {
            let (server, edges, shared) = (server.clone(), edges.clone(), shared.clone());
            thread::Builder::new()
                .name("operators".to_owned())
                .spawn(move || serve(&server, &*edges, &shared))?;
        }
        Ok(OperatorServer { address })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

fn serve<E: Edges>(server: &tiny_http::Server, edges: &E, shared: &SharedState) {
    while !shared.lifecycle.is_stopped() {
        match server.recv_timeout(STOP_POLL) {
            Ok(Some(request)) => handle(request, shared, edges.clock().now_ms()),
            Ok(None) => {}
            Err(error) => warn!("operators: A connection failed. {error}"),
        }
    }
}
