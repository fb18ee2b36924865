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

/// Longest time that a watch waits, in milliseconds.
const LONGEST_WAIT_MS: u64 = 30_000;

/// A platform on threads of this process.
pub struct PlatformStandIn {
    server: Server,
    doors: Mutex<Vec<Server>>,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    inner: Mutex<Inner>,
    written: Condvar,
}

#[derive(Default)]
struct Inner {
    state: State,
    faults: PlatformFaults,
    calls: BTreeMap<String, u64>,
}

impl PlatformStandIn {
    /// Starts the platform; port 0 lets the system choose.
    pub fn start(bind: SocketAddr) -> PlatformStandIn {
        let shared = Arc::new(Shared::default());
        let handler = shared.clone();
        let server = Server::start(bind, move |exchange| handler.handle(exchange));
        PlatformStandIn {
            server,
            doors: Mutex::default(),
            shared,
        }
    }

    /// Returns a further address of the platform, at which watches stay
    /// silent for ever.
    pub fn silent_address(&self) -> SocketAddr {
        let handler = self.shared.clone();
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let server = Server::start(any, move |exchange| match exchange.path.as_str() {
            "/watch" => {
                thread::sleep(Duration::from_millis(exchange.number("wait_ms")));
                let revision = exchange.number("after");
                exchange.json(200, &json!({ "revision": revision, "changes": [] }));
            }
            _ => handler.handle(exchange),
        });
        let address = server.address();
        self.doors.lock().expect("doors").push(server);
        address
    }

    /// Returns the address listened on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets how the platform fails from now on.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.shared.lock().faults = faults;
        self.shared.written.notify_all();
    }

    /// Writes an object as an operator would, and returns its version.
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

    /// Deletes an object as an operator would.
    pub fn delete(&self, kind: &str, name: &str) {
        let key = ObjectKey::new(kind, name);
        let _ = self
            .shared
            .lock()
            .state
            .write(&key, Precondition::Any, None);
        self.shared.written.notify_all();
    }

    /// Reads an object.
    pub fn get(&self, kind: &str, name: &str) -> Option<Object> {
        let key = ObjectKey::new(kind, name);
        self.shared.lock().state.get(&key).cloned()
    }

    /// Reads every object of a kind.
    pub fn list(&self, kind: &str) -> Vec<Object> {
        let inner = self.shared.lock();
        let revision = inner.state.revision();
        inner.state.list(&[kind], revision).objects
    }

    /// Returns the number of calls by operation: `get`, `put`, `delete`,
    /// `list`, `watch`.
    pub fn calls(&self) -> BTreeMap<String, u64> {
        self.shared.lock().calls.clone()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .expect("no handler panics while it holds the state")
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
            return exchange.hang_up();
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
            return exchange.hang_up();
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
            Precondition::Version(exchange.number("version"))
        } else {
            Precondition::Any
        };
        let (result, lost) = {
            let mut inner = self.lock();
            let result = inner.state.write(key, expect, body);
            let lost = inner.faults.loses_reply(&key.kind);
            (result, lost)
        };
        self.written.notify_all();
        if lost {
            return exchange.hang_up();
        }
        match result {
            Ok(version) => exchange.json(200, &json!({ "version": version })),
            Err(held) => exchange.json(409, &json!({ "version": held })),
        }
    }

    fn list(&self, exchange: Exchange) {
        self.count("list");
        let kinds = exchange.query.get("kinds").cloned().unwrap_or_default();
        let kinds: Vec<&str> = kinds.split(',').collect();
        let reply = {
            let inner = self.lock();
            let revision = inner.visible();
            inner.state.list(&kinds, revision)
        };
        exchange.json(200, &reply);
    }

    fn watch(&self, exchange: Exchange) {
        self.count("watch");
        let kinds = exchange.query.get("kinds").cloned().unwrap_or_default();
        let kinds: Vec<&str> = kinds.split(',').collect();
        let after = exchange.number("after");
        let wait_ms = exchange.number("wait_ms").min(LONGEST_WAIT_MS);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut inner = self.lock();
        let reply = loop {
            if inner.faults.down {
                drop(inner);
                return exchange.hang_up();
            }
            let mut reply = inner.state.changes(&kinds, after, inner.visible());
            if inner.faults.mute_watches {
                reply.changes.clear();
                reply.revision = after;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if !reply.changes.is_empty() || left.is_zero() {
                break reply;
            }
            inner = match self.written.wait_timeout(inner, left) {
                Ok((inner, _)) => inner,
                Err(_) => return exchange.hang_up(),
            };
        };
        drop(inner);
        exchange.json(200, &reply);
    }
}

impl Inner {
    /// Returns the revision that lists and watches show.
    fn visible(&self) -> u64 {
        self.state
            .revision()
            .saturating_sub(self.faults.lag_revisions)
    }
}
