use {
    super::{EngineFaults, EngineSettings, answer, attempt::Attempt},
    crate::{
        cache::PrefixCache,
        http::{Exchange, Server},
    },
    mangowalk_core::{
        engine::{CancelRequest, EngineState, GenerateRequest, LoadReport, Order, OrderReply},
        placement::block_chain,
    },
    serde_json::json,
    std::{
        collections::{BTreeMap, HashSet},
        net::SocketAddr,
        sync::{
            Arc, Condvar, Mutex, MutexGuard,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::Duration,
    },
};

static NEXT_INCARNATION: AtomicU64 = AtomicU64::new(1);

/// An engine that runs on threads of this process.
pub struct EngineStandIn {
    shared: Arc<Shared>,
}

pub(super) struct Shared {
    pub(super) settings: EngineSettings,
    address: Mutex<SocketAddr>,
    server: Mutex<Option<Server>>,
    inner: Mutex<Inner>,
    /// Notified when a slot is released and after a crash.
    slot_freed: Condvar,
}

pub(super) struct Inner {
    /// Changes with each start; 0 while the engine is crashed.
    pub(super) incarnation: u64,
    model: String,
    pub(super) version: String,
    loading: bool,
    /// Highest fencing number of an order since the start; 0 if the settings
    /// don't check it.
    fencing: u64,
    running: u32,
    waiting: u32,
    cache: PrefixCache,
    pub(super) faults: EngineFaults,
    /// Cancelled requests and the numbers of their attempts.
    pub(super) cancelled: HashSet<(String, u32)>,
    /// Number of starts by prompt.
    prompts: BTreeMap<String, u64>,
    headers: Vec<(String, String)>,
    orders: Vec<Order>,
    crashes: u64,
    attempts: u64,
    software: String,
    resumed: u64,
}

impl EngineStandIn {
    /// Starts an engine at an address; port 0 lets the system choose a port.
    pub fn start(bind: SocketAddr, settings: EngineSettings) -> EngineStandIn {
        let inner = Inner {
            incarnation: new_incarnation(),
            model: settings.model.clone(),
            version: settings.version.clone(),
            loading: false,
            fencing: 0,
            running: 0,
            waiting: 0,
            cache: PrefixCache::new(settings.cache_blocks),
            faults: EngineFaults::default(),
            cancelled: HashSet::new(),
            prompts: BTreeMap::new(),
            headers: Vec::new(),
            orders: Vec::new(),
            crashes: 0,
            attempts: 0,
            software: settings.software.clone(),
            resumed: 0,
        };
        let shared = Arc::new(Shared {
            settings,
            address: Mutex::new(bind),
            server: Mutex::new(None),
            inner: Mutex::new(inner),
            slot_freed: Condvar::new(),
        });
        shared.clone().listen();
        EngineStandIn { shared }
    }

    /// Returns the address at which the engine listens.
    pub fn address(&self) -> SocketAddr {
        *self.shared.address.lock().expect("address")
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.shared.lock().faults = faults;
    }

    /// Crashes the engine: it stops listening and cuts off every stream.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Restarts a crashed engine at the same address, with its first weights
    /// and an empty cache.
    pub fn restart(&self) {
        self.shared.clone().restart();
    }

    /// Restarts the engine with another version of its program.
    pub fn restart_with(&self, software: &str) {
        self.shared.crash();
        self.shared.lock().software = software.to_owned();
        self.shared.clone().restart();
    }

    /// Returns the number of attempts that went on with a stream.
    pub fn resumed(&self) -> u64 {
        self.shared.lock().resumed
    }

    /// Returns the response body of `GET /state`.
    pub fn state(&self) -> EngineState {
        self.shared.state()
    }

    /// Returns how often each prompt got a slot.
    pub fn prompts(&self) -> BTreeMap<String, u64> {
        self.shared.lock().prompts.clone()
    }

    /// Returns the headers of every attempt, names in lower case.
    pub fn headers(&self) -> Vec<(String, String)> {
        self.shared.lock().headers.clone()
    }

    /// Returns the orders that were accepted, in the order of their arrival.
    pub fn orders(&self) -> Vec<Order> {
        self.shared.lock().orders.clone()
    }

    /// Returns the number of crashes since the stand-in was created.
    pub fn crashes(&self) -> u64 {
        self.shared.lock().crashes
    }

    /// Returns the number of attempts received, including those refused.
    pub fn attempts(&self) -> u64 {
        self.shared.lock().attempts
    }

    /// Returns the answer of `tokens` tokens that every engine gives to a
    /// prompt.
    pub fn answer_to(prompt: &str, tokens: u64) -> String {
        (0..tokens).map(|i| answer::token(prompt, i)).collect()
    }
}

fn new_incarnation() -> u64 {
    // Includes the process ID so that engines in different processes of a demo
    // have different incarnations.
    let process = u64::from(std::process::id()) << 20;
    process + NEXT_INCARNATION.fetch_add(1, Ordering::Relaxed)
}

impl Shared {
    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .expect("no handler panics while it holds the lock")
    }

    fn listen(self: Arc<Self>) {
        let bind = *self.address.lock().expect("address");
        let handler = self.clone();
        let server = Server::start(bind, move |exchange| handler.clone().handle(exchange));
        *self.address.lock().expect("address") = server.address();
        *self.server.lock().expect("server") = Some(server);
    }

    pub(super) fn crash(&self) {
        {
            let mut inner = self.lock();
            inner.incarnation = 0;
            inner.crashes += 1;
            inner.running = 0;
            inner.waiting = 0;
        }
        self.slot_freed.notify_all();
        *self.server.lock().expect("server") = None;
    }

    fn restart(self: Arc<Self>) {
        {
            let mut inner = self.lock();
            inner.incarnation = new_incarnation();
            inner.model = self.settings.model.clone();
            inner.version = self.settings.version.clone();
            inner.loading = false;
            inner.fencing = 0;
            inner.cache = PrefixCache::new(self.settings.cache_blocks);
        }
        self.listen();
    }

    fn state(&self) -> EngineState {
        let inner = self.lock();
        EngineState {
            incarnation: inner.incarnation,
            model: inner.model.clone(),
            version: inner.version.clone(),
            software: inner.software.clone(),
            loading: inner.loading,
            fencing: inner.fencing,
            load: LoadReport {
                running: inner.running,
                waiting: inner.waiting,
                slots: self.settings.slots,
            },
        }
    }

    fn handle(self: Arc<Self>, exchange: Exchange) {
        match exchange.path.as_str() {
            "/generate" => self.generate(exchange),
            "/cancel" => self.cancel(exchange),
            "/state" => exchange.json(200, &self.state()),
            "/load" => exchange.json(200, &self.state().load),
            "/events" => self.events(exchange),
            "/order" => self.order(exchange),
            "/faults" => {
                self.lock().faults = serde_json::from_slice(&exchange.body).unwrap_or_default();
                exchange.json(200, &json!({}));
            }
            "/crash" => {
                self.crash();
                self.restart();
            }
            _ => exchange.json(404, &json!({})),
        }
    }

    fn cancel(&self, exchange: Exchange) {
        if let Ok(cancel) = serde_json::from_slice::<CancelRequest>(&exchange.body) {
            self.lock()
                .cancelled
                .insert((cancel.request_id, cancel.attempt));
        }
        exchange.json(200, &json!({}));
    }

    fn events(&self, exchange: Exchange) {
        let events = {
            let mut inner = self.lock();
            if inner.faults.lose_events > 0 {
                inner.faults.lose_events -= 1;
                inner.cache.drop_changes();
            }
            let incarnation = inner.incarnation;
            inner
                .cache
                .events(incarnation, exchange.query_number("from"))
        };
        exchange.json(200, &events);
    }

    fn order(self: Arc<Self>, exchange: Exchange) {
        let Ok(order) = serde_json::from_slice::<Order>(&exchange.body) else {
            return exchange.json(400, &json!({}));
        };
        let reply = self.clone().execute_order(order);
        exchange.json(200, &reply);
    }

    /// Executes an order; a load of weights goes on in the background.
    fn execute_order(self: Arc<Self>, order: Order) -> OrderReply {
        let mut inner = self.lock();
        if self.settings.checks_fencing && order.fencing < inner.fencing {
            return OrderReply::OldFencing {
                highest: inner.fencing,
            };
        }
        if self.settings.checks_fencing {
            inner.fencing = order.fencing;
        }
        if let Some(reason) = inner.faults.refuse_loads.clone() {
            return OrderReply::Refused { reason };
        }
        inner.orders.push(order.clone());
        if inner.version == order.version && inner.model == order.model {
            return OrderReply::Accepted;
        }
        inner.loading = true;
        inner.cache.clear();
        drop(inner);
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(self.settings.load_ms));
            let mut inner = self.lock();
            inner.model = order.model;
            inner.version = order.version;
            inner.loading = false;
        });
        OrderReply::Accepted
    }

    fn generate(self: Arc<Self>, exchange: Exchange) {
        let Ok(request) = serde_json::from_slice::<GenerateRequest>(&exchange.body) else {
            return exchange.json(400, &json!({}));
        };
        let incarnation = {
            let mut inner = self.lock();
            inner.headers.extend(exchange.headers.clone());
            inner.attempts += 1;
            inner.resumed += u64::from(!request.generated.is_empty());
            if let Some(status) = inner.faults.refuse_status {
                let retry_after = inner.faults.retry_after.clone();
                drop(inner);
                return exchange.refuse(status, retry_after.as_deref());
            }
            let is_mismatch = inner.loading
                || inner.model != request.model
                || inner.version != request.version
                || inner.incarnation != request.incarnation;
            if is_mismatch {
                drop(inner);
                return exchange.json(409, &json!({}));
            }
            inner.incarnation
        };
        let Some(cached) = self.admit(&request, incarnation) else {
            return exchange.close_without_response();
        };
        let mut writer = exchange.stream();
        let attempt = Attempt {
            shared: &self,
            request: &request,
            incarnation,
            cached_blocks: cached,
        };
        attempt.write(&mut writer);
        self.release_slot(incarnation);
    }

    /// Waits for a slot and computes the blocks that are not cached. Returns
    /// the number of blocks that were cached, `None` if the engine crashed
    /// meanwhile.
    fn admit(&self, request: &GenerateRequest, incarnation: u64) -> Option<usize> {
        let mut inner = self.lock();
        inner.waiting += 1;
        while inner.running >= self.settings.slots && inner.incarnation == incarnation {
            inner = self.slot_freed.wait(inner).ok()?;
        }
        if inner.incarnation != incarnation {
            return None;
        }
        inner.waiting -= 1;
        inner.running += 1;
        *inner.prompts.entry(request.prompt.clone()).or_default() += 1;
        let chain = block_chain(&request.cache_salt, &request.prompt);
        let hits = inner.cache.hits(&chain);
        let slow_factor = inner.faults.slow_factor.max(1);
        drop(inner);
        let missed = (chain.len() - hits) as u64;
        thread::sleep(Duration::from_micros(
            missed * self.settings.miss_us * slow_factor,
        ));
        let mut inner = self.lock();
        if inner.incarnation != incarnation {
            return None;
        }
        inner.cache.store(&chain);
        Some(hits)
    }

    fn release_slot(&self, incarnation: u64) {
        let mut inner = self.lock();
        if inner.incarnation == incarnation {
            inner.running = inner.running.saturating_sub(1);
        }
        drop(inner);
        self.slot_freed.notify_all();
    }
}
