use {
    super::{EngineFaults, EngineSettings, answer, cache::Cache},
    crate::http::{Exchange, Server},
    mangowalk_core::{
        engine::{
            CancelRequest, EngineState, GenerateEvent, GeneratePayload, GenerateRequest,
            LoadReport, Order, OrderReply, Usage,
        },
        placement::{BLOCK_BYTES, TOKEN_BYTES, block_chain, tokens_of},
    },
    serde_json::json,
    std::{
        collections::{BTreeMap, HashSet},
        io::Write,
        net::SocketAddr,
        sync::{
            Arc, Condvar, Mutex, MutexGuard,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::Duration,
    },
};

const BLOCK_TOKENS: u64 = (BLOCK_BYTES / TOKEN_BYTES) as u64;

/// Longest answer of a stand-in, whatever `max_tokens` allows.
const LONGEST_ANSWER_TOKENS: u64 = 200;

static NEXT_INCARNATION: AtomicU64 = AtomicU64::new(1);

/// An engine on threads of this process.
pub struct EngineStandIn {
    shared: Arc<Shared>,
}

struct Shared {
    settings: EngineSettings,
    address: Mutex<SocketAddr>,
    server: Mutex<Option<Server>>,
    inner: Mutex<Inner>,
    freed: Condvar,
}

struct Inner {
    incarnation: u64,
    model: String,
    version: String,
    loading: bool,
    fencing: u64,
    running: u32,
    waiting: u32,
    cache: Cache,
    faults: EngineFaults,
    cancelled: HashSet<(String, u32)>,
    prompts: BTreeMap<String, u64>,
    headers: Vec<(String, String)>,
    orders: Vec<Order>,
    crashes: u64,
    attempts: u64,
}

impl EngineStandIn {
    /// Starts an engine; port 0 lets the system choose.
    pub fn start(bind: SocketAddr, settings: EngineSettings) -> EngineStandIn {
        let inner = Inner {
            incarnation: new_incarnation(),
            model: settings.model.clone(),
            version: settings.version.clone(),
            loading: false,
            fencing: 0,
            running: 0,
            waiting: 0,
            cache: Cache::new(settings.cache_blocks),
            faults: EngineFaults::default(),
            cancelled: HashSet::new(),
            prompts: BTreeMap::new(),
            headers: Vec::new(),
            orders: Vec::new(),
            crashes: 0,
            attempts: 0,
        };
        let shared = Arc::new(Shared {
            settings,
            address: Mutex::new(bind),
            server: Mutex::new(None),
            inner: Mutex::new(inner),
            freed: Condvar::new(),
        });
        shared.clone().listen();
        EngineStandIn { shared }
    }

    /// Returns the address listened on.
    pub fn address(&self) -> SocketAddr {
        *self.shared.address.lock().expect("address")
    }

    /// Sets how the engine fails from now on.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.shared.lock().faults = faults;
    }

    /// Crashes the engine: it stops to listen and cuts every stream.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Starts a crashed engine again, empty.
    pub fn restart(&self) {
        self.shared.clone().restart();
    }

    /// Returns what `GET /state` would answer.
    pub fn state(&self) -> EngineState {
        self.shared.state()
    }

    /// Returns how often each prompt was started.
    pub fn prompts(&self) -> BTreeMap<String, u64> {
        self.shared.lock().prompts.clone()
    }

    /// Returns every header that any router sent.
    pub fn headers(&self) -> Vec<(String, String)> {
        self.shared.lock().headers.clone()
    }

    /// Returns the orders that were followed.
    pub fn orders(&self) -> Vec<Order> {
        self.shared.lock().orders.clone()
    }

    /// Returns how often the engine crashed.
    pub fn crashes(&self) -> u64 {
        self.shared.lock().crashes
    }

    /// Returns how many attempts came, those refused included.
    pub fn attempts(&self) -> u64 {
        self.shared.lock().attempts
    }

    /// Returns the answer that the engine gives to a prompt.
    pub fn answer_to(prompt: &str, tokens: u64) -> String {
        (0..tokens).map(|i| answer::token(prompt, i)).collect()
    }
}

fn new_incarnation() -> u64 {
    // Processes of one demo must not draw the same numbers.
    let process = u64::from(std::process::id()) << 20;
    process + NEXT_INCARNATION.fetch_add(1, Ordering::Relaxed)
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .expect("no handler panics while it holds the state")
    }

    fn listen(self: Arc<Self>) {
        let bind = *self.address.lock().expect("address");
        let handler = self.clone();
        let server = Server::start(bind, move |exchange| handler.clone().handle(exchange));
        *self.address.lock().expect("address") = server.address();
        *self.server.lock().expect("server") = Some(server);
    }

    fn crash(&self) {
        {
            let mut inner = self.lock();
            inner.incarnation = 0;
            inner.crashes += 1;
            inner.running = 0;
            inner.waiting = 0;
        }
        self.freed.notify_all();
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
            inner.cache = Cache::new(self.settings.cache_blocks);
        }
        self.listen();
    }

    fn state(&self) -> EngineState {
        let inner = self.lock();
        EngineState {
            incarnation: inner.incarnation,
            model: inner.model.clone(),
            version: inner.version.clone(),
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
                inner.cache.lose_one();
            }
            let incarnation = inner.incarnation;
            inner.cache.events(incarnation, exchange.number("from"))
        };
        exchange.json(200, &events);
    }

    fn order(self: Arc<Self>, exchange: Exchange) {
        let Ok(order) = serde_json::from_slice::<Order>(&exchange.body) else {
            return exchange.json(400, &json!({}));
        };
        let reply = self.clone().follow(order);
        exchange.json(200, &reply);
    }

    fn follow(self: Arc<Self>, order: Order) -> OrderReply {
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
            if let Some(status) = inner.faults.refuse_status {
                drop(inner);
                return exchange.json(status, &json!({}));
            }
            let wrong = inner.loading
                || inner.model != request.model
                || inner.version != request.version
                || inner.incarnation != request.incarnation;
            if wrong {
                drop(inner);
                return exchange.json(409, &json!({}));
            }
            inner.incarnation
        };
        let Some(cached) = self.admit(&request, incarnation) else {
            return exchange.hang_up();
        };
        let mut writer = exchange.stream();
        let run = Run {
            shared: &self,
            request: &request,
            incarnation,
            cached_blocks: cached,
        };
        run.write(&mut writer);
        self.leave(incarnation);
    }

    /// Waits for a slot, computes what is missed, and returns the blocks that
    /// were cached; none if the engine crashed meanwhile.
    fn admit(&self, request: &GenerateRequest, incarnation: u64) -> Option<usize> {
        let mut inner = self.lock();
        inner.waiting += 1;
        while inner.running >= self.settings.slots && inner.incarnation == incarnation {
            inner = self.freed.wait(inner).ok()?;
        }
        if inner.incarnation != incarnation {
            return None;
        }
        inner.waiting -= 1;
        inner.running += 1;
        *inner.prompts.entry(request.prompt.clone()).or_default() += 1;
        let chain = block_chain(&request.cache_salt, &request.prompt);
        let hits = inner.cache.hits(&chain);
        let slow = inner.faults.slow_factor.max(1);
        drop(inner);
        let missed = (chain.len() - hits) as u64;
        thread::sleep(Duration::from_micros(missed * self.settings.miss_us * slow));
        let mut inner = self.lock();
        if inner.incarnation != incarnation {
            return None;
        }
        inner.cache.store(&chain);
        Some(hits)
    }

    fn leave(&self, incarnation: u64) {
        let mut inner = self.lock();
        if inner.incarnation == incarnation {
            inner.running = inner.running.saturating_sub(1);
        }
        drop(inner);
        self.freed.notify_all();
    }
}

/// One attempt that writes its answer.
struct Run<'a> {
    shared: &'a Arc<Shared>,
    request: &'a GenerateRequest,
    incarnation: u64,
    cached_blocks: usize,
}

impl Run<'_> {
    fn write(&self, writer: &mut impl Write) {
        let tokens = u64::from(self.request.max_tokens).min(LONGEST_ANSWER_TOKENS);
        let first = self.request.generated.len() as u64;
        let faults = self.shared.lock().faults.clone();
        if let Some(not_run) = faults.fail_not_run {
            let reason = "made to fail".to_owned();
            let failed = GeneratePayload::Failed { reason, not_run };
            let _ = send(writer, &self.event(self.request.attempt, failed));
            return;
        }
        for index in first..tokens {
            if !self.go_on(index - first) {
                return;
            }
            if faults.cut_after_tokens == Some(index - first) {
                let _ = writer.write(b"");
                return;
            }
            if faults.skip_token == Some(index) {
                continue;
            }
            let token = GeneratePayload::Token {
                index,
                text: answer::token(&self.request.prompt, index),
            };
            if self.shared.lock().faults.cross_answers {
                let text = "foreign ".to_owned();
                let foreign = GeneratePayload::Token { index, text };
                let foreign = self.event(self.request.attempt + 1, foreign);
                let _ = send(writer, &foreign);
            }
            if send(writer, &self.event(self.request.attempt, token)).is_err() {
                return;
            }
        }
        let done = self.done(tokens.max(first));
        let _ = send(writer, &self.event(self.request.attempt, done));
        let _ = writer.write(b"");
    }

    /// Waits for the time of one token, and tells whether the run goes on.
    fn go_on(&self, written: u64) -> bool {
        let (faults, alive) = {
            let inner = self.shared.lock();
            let key = (self.request.request_id.clone(), self.request.attempt);
            let alive = inner.incarnation == self.incarnation && !inner.cancelled.contains(&key);
            (inner.faults.clone(), alive)
        };
        if !alive {
            return false;
        }
        let poison = faults
            .crash_on
            .as_ref()
            .is_some_and(|text| self.request.prompt.contains(text.as_str()));
        if poison || faults.crash_after_tokens == Some(written) {
            self.shared.crash();
            return false;
        }
        if faults.stall || faults.freeze_after_tokens == Some(written) {
            return self.stay_silent();
        }
        let slow = faults.slow_factor.max(1);
        thread::sleep(Duration::from_micros(self.shared.settings.token_us * slow));
        self.shared.lock().incarnation == self.incarnation
    }

    /// Says nothing until the attempt is cancelled or the fault is lifted.
    fn stay_silent(&self) -> bool {
        loop {
            thread::sleep(Duration::from_millis(20));
            let inner = self.shared.lock();
            let key = (self.request.request_id.clone(), self.request.attempt);
            if inner.incarnation != self.incarnation || inner.cancelled.contains(&key) {
                return false;
            }
            if !inner.faults.stall && inner.faults.freeze_after_tokens.is_none() {
                return true;
            }
        }
    }

    fn done(&self, tokens: u64) -> GeneratePayload {
        let version = self.shared.lock().version.clone();
        let prompt_tokens = tokens_of(&self.request.prompt);
        GeneratePayload::Done {
            finish_reason: "length".to_owned(),
            version,
            incarnation: self.incarnation,
            usage: Usage {
                prompt_tokens,
                cached_tokens: (self.cached_blocks as u64 * BLOCK_TOKENS).min(prompt_tokens),
                completion_tokens: tokens,
            },
        }
    }

    fn event(&self, attempt: u32, payload: GeneratePayload) -> GenerateEvent {
        GenerateEvent {
            request_id: self.request.request_id.clone(),
            attempt,
            payload,
        }
    }
}

fn send(writer: &mut impl Write, event: &GenerateEvent) -> std::io::Result<()> {
    let text = serde_json::to_string(event).expect("serializable");
    writer.write_all(format!("data: {text}\n\n").as_bytes())
}
