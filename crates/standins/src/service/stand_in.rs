use {
    crate::http::{Exchange, Server},
    serde_json::json,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
};

/// Faults injected into the service, all off by default.
#[derive(Debug, Clone, Default)]
pub struct ServiceFaults {
    /// Delay before each call runs, in milliseconds.
    pub delay_ms: u64,
    /// Number of further calls that run but whose response is dropped.
    pub lose_replies: u32,
}

/// A service that runs on threads of this process.
pub struct ServiceStandIn {
    server: Server,
    inner: Arc<Mutex<Inner>>,
}

#[derive(Default)]
struct Inner {
    faults: ServiceFaults,
    runs: BTreeMap<String, u64>,
    headers: Vec<(String, String)>,
}

impl ServiceStandIn {
    /// Starts the service at an address; port 0 lets the system choose a port.
    pub fn start(bind: SocketAddr) -> ServiceStandIn {
        let inner = Arc::new(Mutex::new(Inner::default()));
        let state = inner.clone();
        let server = Server::start(bind, move |exchange| handle(&state, exchange));
        ServiceStandIn { server, inner }
    }

    /// Returns the address at which the service listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.inner.lock().expect("state").faults = faults;
    }

    /// Returns how often each request body was run.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.inner.lock().expect("state").runs.clone()
    }

    /// Returns the headers of every call, names in lower case.
    pub fn headers(&self) -> Vec<(String, String)> {
        self.inner.lock().expect("state").headers.clone()
    }
}

fn handle(state: &Mutex<Inner>, exchange: Exchange) {
    let faults = state.lock().expect("state").faults.clone();
    thread::sleep(Duration::from_millis(faults.delay_ms));
    let body = String::from_utf8_lossy(&exchange.body).into_owned();
    let is_reply_lost = {
        let mut inner = state.lock().expect("state");
        inner.headers.extend(exchange.headers.clone());
        *inner.runs.entry(body.clone()).or_default() += 1;
        let is_reply_lost = inner.faults.lose_replies > 0;
        inner.faults.lose_replies = inner.faults.lose_replies.saturating_sub(1);
        is_reply_lost
    };
    if is_reply_lost {
        return exchange.close_without_response();
    }
    exchange.json(200, &json!({ "booked": body }));
}
