use {
    super::{PlatformFaults, state::State},
    crate::http::{Exchange, Server},
    mangowalk_core::platform::{Object, ObjectKey, Precondition},
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Condvar, Mutex, MutexGuard},
        thread,
        time::{Duration, Instant},
    },
};

/// Upper bound of a watch's `wait_ms`.
const MAX_WAIT_MS: u64 = 30_000;

/// A platform that runs on threads of this process.
pub struct PlatformStandIn {
    server: Server,
    silent_servers: Mutex<Vec<Server>>,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    inner: Mutex<Inner>,
    /// Notified after each write and each change of the faults.
    written: Condvar,
}

#[derive(Default)]
struct Inner {
    state: State,
    faults: PlatformFaults,
    calls: BTreeMap<String, u64>,
}

impl PlatformStandIn {
    /// Starts the platform at an address; port 0 lets the system choose a port.
    pub fn start(bind: SocketAddr) -> PlatformStandIn {
        let shared = Arc::new(Shared::default());
        let handler = shared.clone();
        let server = Server::start(bind, move |exchange| handler.handle(exchange));
        PlatformStandIn {
            server,
            silent_servers: Mutex::default(),
            shared,
        }
    }

    /// Starts a further listener of the platform, and returns its address. Its
    /// watches wait for their whole `wait_ms` and never return a change.
    pub fn silent_address(&self) -> SocketAddr {
        let handler = self.shared.clone();
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let server = Server::start(any, move |exchange| match exchange.path.as_str() {
            "/watch" => {
                thread::sleep(Duration::from_millis(exchange.query_number("wait_ms")));
                let revision = exchange.query_number("after");
                exchange.json(200, &json!({ "revision": revision, "changes": [] }));
            }
            _ => handler.handle(exchange),
        });
        let address = server.address();
        self.silent_servers.lock().expect("doors").push(server);
        address
    }

    /// Returns the address at which the platform listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.shared.lock().faults = faults;
        self.shared.written.notify_all();
    }

    /// Writes an object unconditionally, as an operator would, and returns its
    /// new version.
    pub fn put(&self, kind: &str, name: &str, body: Value) -> u64 {
        let key = ObjectKey::new(kind, name);
        let version = self
            .shared
            .lock()
            .state
            .write(&key, Precondition::Any, Some(body));
        self.shared.written.notify_all();
        version.unwrap_or_default()
    }

    /// Deletes an object unconditionally, as an operator would.
    pub fn delete(&self, kind: &str, name: &str) {
        let key = ObjectKey::new(kind, name);
        let _ = self
            .shared
            .lock()
            .state
            .write(&key, Precondition::Any, None);
        self.shared.written.notify_all();
    }

    /// Returns an object, `None` if it does not exist. Faults don't apply.
    pub fn get(&self, kind: &str, name: &str) -> Option<Object> {
        let key = ObjectKey::new(kind, name);
        self.shared.lock().state.get(&key).cloned()
    }

    /// Returns every object of a kind. Faults don't apply.
    pub fn list(&self, kind: &str) -> Vec<Object> {
        let inner = self.shared.lock();
        let revision = inner.state.revision();
        inner.state.list(&[kind], revision).objects
    }

    /// Returns the number of calls over HTTP by operation: `get`, `put`,
    /// `delete`, `list`, `watch`.
    pub fn calls(&self) -> BTreeMap<String, u64> {
        self.shared.lock().calls.clone()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .expect("no handler panics while it holds the lock")
    }

    fn handle(&self, exchange: Exchange) {
        if exchange.path == "/faults" {
            let faults = serde_json::from_slice(&exchange.body).unwrap_or_default();
            self.lock().faults = faults;
            self.written.notify_all();
            return exchange.json(200, &json!({}));
        }
        if exchange.path == "/calls" {
            let calls = self.lock().calls.clone();
            return exchange.json(200, &calls);
        }
        let delay_ms = self.lock().faults.delay_ms;
        if delay_ms > 0 {
            thread::sleep(Duration::from_millis(delay_ms));
        }
        if self.lock().faults.down {
            return exchange.close_without_response();
        }
        match exchange.path.as_str() {
            "/list" => self.list(exchange),
            "/watch" => self.watch(exchange),
            _ => self.object(exchange),
        }
    }

    fn count(&self, operation: &str) {
        *self.lock().calls.entry(operation.to_owned()).or_default() += 1;
    }

    fn object(&self, exchange: Exchange) {
        let mut parts = exchange.path.trim_start_matches("/objects/").splitn(2, '/');
        let (Some(kind), Some(name)) = (parts.next(), parts.next()) else {
            return exchange.json(404, &json!({}));
        };
        let key = ObjectKey::new(kind, name);
        match exchange.method.as_str() {
            "GET" => self.get(exchange, &key),
            "PUT" => match serde_json::from_slice(&exchange.body) {
                Ok(body) => self.write(exchange, "put", &key, Some(body)),
                Err(_) => exchange.json(400, &json!({})),
            },
            "DELETE" => self.write(exchange, "delete", &key, None),
            _ => exchange.json(405, &json!({})),
        }
    }

    fn get(&self, exchange: Exchange, key: &ObjectKey) {
        self.count("get");
        if self.lock().faults.lose_reads {
            return exchange.close_without_response();
        }
        let object = self.lock().state.get(key).cloned();
        match object {
            Some(object) => exchange.json(200, &object),
            None => exchange.json(404, &json!({})),
        }
    }

    fn write(&self, exchange: Exchange, operation: &str, key: &ObjectKey, body: Option<Value>) {
        self.count(operation);
        let expect = if exchange.query.contains_key("absent") {
            Precondition::Absent
        } else if exchange.query.contains_key("version") {
            Precondition::Version(exchange.query_number("version"))
        } else {
            Precondition::Any
        };
        let (result, is_reply_lost) = {
            let mut inner = self.lock();
            let result = inner.state.write(key, expect, body);
            let is_reply_lost = inner.faults.loses_reply(&key.kind);
            (result, is_reply_lost)
        };
        self.written.notify_all();
        if is_reply_lost {
            return exchange.close_without_response();
        }
        match result {
            Ok(version) => exchange.json(200, &json!({ "version": version })),
            Err(current_version) => exchange.json(409, &json!({ "version": current_version })),
        }
    }

    fn list(&self, exchange: Exchange) {
        self.count("list");
        let kinds = exchange.query.get("kinds").cloned().unwrap_or_default();
        let kinds: Vec<&str> = kinds.split(',').collect();
        let reply = {
            let inner = self.lock();
            let revision = inner.visible_revision();
            inner.state.list(&kinds, revision)
        };
        exchange.json(200, &reply);
    }

    fn watch(&self, exchange: Exchange) {
        self.count("watch");
        let kinds = exchange.query.get("kinds").cloned().unwrap_or_default();
        let kinds: Vec<&str> = kinds.split(',').collect();
        let after = exchange.query_number("after");
        let wait_ms = exchange.query_number("wait_ms").min(MAX_WAIT_MS);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut inner = self.lock();
        let reply = loop {
            if inner.faults.down {
                drop(inner);
                return exchange.close_without_response();
            }
            let mut reply = inner.state.changes(&kinds, after, inner.visible_revision());
            if inner.faults.mute_watches {
                reply.changes.clear();
                reply.revision = after;
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !reply.changes.is_empty() || remaining.is_zero() {
                break reply;
            }
            inner = match self.written.wait_timeout(inner, remaining) {
                Ok((inner, _)) => inner,
                Err(_) => return exchange.close_without_response(),
            };
        };
        drop(inner);
        exchange.json(200, &reply);
    }
}

impl Inner {
    /// Returns the latest revision that lists and watches return.
    fn visible_revision(&self) -> u64 {
        self.state
            .revision()
            .saturating_sub(self.faults.lag_revisions)
    }
}
