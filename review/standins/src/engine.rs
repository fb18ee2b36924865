//! Engines of a plain service, and model engines that cache the parts of prompts.

use crate::{
    http::{Head, read_body, read_head, response, serve, wire},
    json::{Json, object},
    record::Record,
    store::Store,
};
use std::{
    collections::HashMap,
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicUsize, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

/// Name of the model that model engines have.
pub const MODEL: &str = "daka510000";

/// Requests that a plain engine runs at once.
const PLAIN_SLOTS: usize = 6;

/// Requests that a model engine runs at once.
pub const MODEL_SLOTS: usize = 96;

/// Time that a plain request, or an event of a stream, takes.
const WORK: Duration = Duration::from_millis(15);

/// Events of a stream.
const EVENTS: usize = 5;

/// Time that an engine takes to load new weights.
const LOAD: Duration = Duration::from_millis(380);

/// Age of what an engine reports.
const REPORT_AGE: Duration = Duration::from_millis(200);

/// An order that reached an engine.
#[derive(Debug, Clone)]
pub struct Order {
    pub at: Instant,
    pub holder: String,
    pub fence: u64,
}

const FIRST_WEIGHTS: Weights = Weights {
    version: 1,
    loads: None,
    accepted: 0,
};

/// Weights of an engine, and the orders that concern them.
#[derive(Debug, Clone, Copy)]
struct Weights {
    version: u64,
    /// Version that is being loaded.
    loads: Option<u64>,
    /// Number of accepted orders.
    accepted: u64,
}

/// A use of a cached part of a prompt.
#[derive(Debug, Clone)]
pub struct PartUse {
    pub at: Instant,
    pub engine: String,
    pub request: String,
    pub tenant: String,
    /// Tenant whose request made the part.
    pub maker: String,
    pub part: String,
}

/// Bytes that an engine writes before an answer: told the request that runs and the one that
/// was answered before on its connection.
type Fault = Box<dyn Fn(&str, &str) -> Option<Vec<u8>> + Send + Sync>;

/// A stand-in for an engine.
pub struct Engine {
    pub name: String,
    service: String,
    zone: String,
    has_model: bool,
    record: Record,
    store: Store,
    address: OnceLock<SocketAddr>,
    running: AtomicUsize,
    /// Requests that it began to run, in order.
    pub runs: Mutex<Vec<String>>,
    /// Requests that reached it, in order.
    pub arrivals: Mutex<Vec<(Instant, String)>>,
    pub fault: OnceLock<Fault>,
    /// The weights at each change, oldest first.
    weights: Mutex<Vec<(Instant, Weights)>>,
    /// Orders that reached it.
    pub orders: Mutex<Vec<Order>>,
    /// Tenant whose request made a part, by cache salt and the parts up to it.
    makers: Mutex<HashMap<(String, String), String>>,
    /// Engines from which it can fetch parts.
    pub fleet: OnceLock<Vec<Arc<Engine>>>,
    /// Parts that its requests found in its cache or fetched.
    pub uses: Mutex<Vec<PartUse>>,
}

impl Engine {
    /// Starts an engine and lists it as ready.
    pub fn start(
        name: &str,
        service: &str,
        zone: &str,
        has_model: bool,
        ip: &str,
        store: &Store,
        record: &Record,
    ) -> io::Result<Arc<Engine>> {
        let engine = Arc::new(Engine {
            name: name.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            has_model,
            record: record.clone(),
            store: store.clone(),
            address: OnceLock::new(),
            running: AtomicUsize::new(0),
            runs: Mutex::default(),
            arrivals: Mutex::default(),
            fault: OnceLock::new(),
            weights: Mutex::new(vec![(Instant::now(), FIRST_WEIGHTS)]),
            orders: Mutex::default(),
            makers: Mutex::default(),
            fleet: OnceLock::new(),
            uses: Mutex::default(),
        });
        let served = engine.clone();
        let address = serve(ip, move |stream| served.serve(stream))?;
        engine.address.set(address).expect("it is set once");
        engine.list("ready");
        Ok(engine)
    }

    fn address(&self) -> String {
        self.address
            .get()
            .map_or(String::new(), SocketAddr::to_string)
    }

    /// Writes its entry. Later heartbeats change `Seq` alone, and so not the entry.
    fn list(&self, state: &str) {
        let models: Json = match self.has_model {
            true => self.models(self.weights(Duration::ZERO).version),
            false => Vec::new().into(),
        };
        let entry = object([
            ("Service", self.service.as_str().into()),
            ("Address", self.address().as_str().into()),
            ("Zone", self.zone.as_str().into()),
            ("Version", "v1".into()),
            ("Slots", (self.slots() as u64).into()),
            ("State", state.into()),
            ("ColdLeftMs", 0.into()),
            ("Stage", "both".into()),
            ("Models", models),
            ("Seq", 1.into()),
        ]);
        self.store.write("servers", &self.name, entry);
    }

    /// Reports that it drains. Returns when the store has accepted that.
    pub fn drain(&self) -> Instant {
        self.list("draining");
        Instant::now()
    }

    fn slots(&self) -> usize {
        if self.has_model {
            MODEL_SLOTS
        } else {
            PLAIN_SLOTS
        }
    }

    /// Returns the weights as they were before a time.
    fn weights(&self, age: Duration) -> Weights {
        let weights = self.weights.lock().expect("no thread panics");
        let mut newest_first = weights.iter().rev();
        let known = newest_first.find(|(at, _)| at.elapsed() >= age);
        known.map_or(FIRST_WEIGHTS, |(_, weights)| *weights)
    }

    /// Returns whether it has loaded a version of its weights.
    pub fn has_version(&self, version: u64) -> bool {
        let weights = self.weights(Duration::ZERO);
        weights.loads.is_none() && weights.version >= version
    }

    fn set_weights(&self, weights: Weights) {
        let change = (Instant::now(), weights);
        self.weights.lock().expect("no thread panics").push(change);
    }

    fn models(&self, version: u64) -> Json {
        vec![object([
            ("Name", MODEL.into()),
            ("Version", version.into()),
            ("Adapters", Vec::new().into()),
        ])]
        .into()
    }

    fn report(&self) -> Json {
        let weights = self.weights(REPORT_AGE);
        object([
            ("Stage", "both".into()),
            ("Models", self.models(weights.version)),
            ("Busy", weights.loads.is_some().into()),
            ("Seq", weights.accepted.into()),
            ("Queued", 0.into()),
            ("Running", 0.into()),
            ("KvUsed", 0.into()),
            ("KvTotal", 82_259.into()),
            ("Handles", 0.into()),
        ])
    }

    /// Takes an order, and returns the status of the answer.
    fn take_order(self: &Arc<Self>, body: &str) -> u16 {
        let order = Json::parse(body).unwrap_or(Json::Null);
        let number = |name: &str| order.get(name).and_then(Json::number);
        let holder = order.get("Holder").and_then(Json::text);
        let (Some(holder), Some(fence), Some(version)) =
            (holder, number("FencingToken"), number("Version"))
        else {
            return 400;
        };
        self.orders.lock().expect("no thread panics").push(Order {
            at: Instant::now(),
            holder: holder.to_owned(),
            fence,
        });
        let weights = self.weights(Duration::ZERO);
        let status = if weights.loads.is_none() && weights.version >= version {
            200
        } else if weights.loads.is_some()
            || number("Expected").is_some_and(|expected| expected != weights.accepted)
        {
            409
        } else {
            202
        };
        self.record.write(&format!(
            "order of {holder} with token {fence} for version {version} reaches {}: {status}",
            self.name
        ));
        if status == 202 {
            let loading = Weights {
                loads: Some(version),
                accepted: weights.accepted + 1,
                ..weights
            };
            self.set_weights(loading);
            let engine = self.clone();
            thread::spawn(move || {
                sleep(LOAD);
                engine.set_weights(Weights {
                    version,
                    loads: None,
                    ..loading
                });
                engine.list("ready");
            });
        }
        status
    }

    fn serve(self: &Arc<Self>, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        // The last request that was answered on this connection.
        let mut answered = String::new();
        while let Some(head) = read_head(&mut reader)? {
            let body = read_body(&mut reader, &head)?;
            let request = head.text(wire("request_id"));
            let arrival = (Instant::now(), request.clone());
            self.arrivals
                .lock()
                .expect("no thread panics")
                .push(arrival);
            let named = (wire("request_id"), request.as_str());
            let own = (wire("instance_id"), self.name.as_str());
            let expected = head.field(wire("expect_instance"));
            if head.first_line.contains(" /health ") {
                writer.write_all(&response("200 OK", &[own], b""))?;
            } else if expected.is_some_and(|expected| expected != self.name) {
                writer.write_all(&response("421 Misdirected Request", &[named, own], b""))?;
            } else if head.first_line.contains(wire("report_path")) {
                let report = self.report().to_string();
                writer.write_all(&response("200 OK", &[own], report.as_bytes()))?;
            } else if head.first_line.contains(wire("order_path")) {
                let status = self.take_order(&String::from_utf8_lossy(&body));
                writer.write_all(&response(&format!("{status} Answer"), &[own], b""))?;
            } else if self.running.fetch_add(1, Ordering::SeqCst) >= self.slots() {
                self.running.fetch_sub(1, Ordering::SeqCst);
                let not_run = (wire("not_executed"), "1");
                writer.write_all(&response("503 Service Unavailable", &[named, not_run], b""))?;
            } else {
                let run = self.run(&head, &request, &answered, &mut writer);
                self.running.fetch_sub(1, Ordering::SeqCst);
                run?;
                answered = request;
            }
        }
        Ok(())
    }

    fn run(
        &self,
        head: &Head,
        request: &str,
        answered: &str,
        writer: &mut TcpStream,
    ) -> io::Result<()> {
        self.runs
            .lock()
            .expect("no thread panics")
            .push(request.to_owned());
        self.record
            .write(&format!("engine {} runs {request}", self.name));
        if let Some(bytes) = self.fault.get().and_then(|fault| fault(request, answered)) {
            writer.write_all(&bytes)?;
        }
        match self.has_model {
            true => self.write_stream(head, request, writer),
            false => self.write_plain(request, writer),
        }
    }

    fn write_plain(&self, request: &str, writer: &mut TcpStream) -> io::Result<()> {
        sleep(WORK);
        let stamp = format!("st.{}.{request}", self.name);
        let fields = [
            (wire("request_id"), request),
            (wire("instance_id"), self.name.as_str()),
            (wire("stamp"), stamp.as_str()),
            (wire("server_load"), "1,0,6"),
            ("Keep-Alive", "timeout=5"),
        ];
        writer.write_all(&response("200 OK", &fields, b"done"))
    }

    fn write_stream(&self, head: &Head, request: &str, writer: &mut TcpStream) -> io::Result<()> {
        self.read_prompt(head, request);
        let stamp = format!("st.{}.{request}", self.name);
        let fields = [
            (wire("request_id"), request),
            (wire("instance_id"), self.name.as_str()),
            (wire("stamp"), stamp.as_str()),
            (wire("versions"), "1"),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ];
        let mut text = "HTTP/1.1 200 OK\r\n".to_owned();
        for (name, value) in fields {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        writer.write_all(format!("{text}\r\n").as_bytes())?;
        for number in 0..EVENTS {
            sleep(WORK);
            let event = format!("id: {number}\ndata: piece {number}\n\n");
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }

    /// Uses the parts of a prompt that are cached under the same salt, here or where it is told
    /// to fetch from, and makes the others.
    fn read_prompt(&self, head: &Head, request: &str) {
        let tenant = head.text(wire("tenant"));
        let salt = head.text(wire("cache_salt"));
        let prompt = head.text(wire("prompt_prefix"));
        let fetch_from = head.text(wire("kv_fetch"));
        let fleet = self.fleet.get().map_or(&[][..], Vec::as_slice);
        let source = fleet.iter().find(|engine| engine.address() == fetch_from);
        let mut chain = String::new();
        for part in prompt.split(',') {
            chain.push_str(part);
            chain.push(',');
            let key = (salt.clone(), chain.clone());
            let made = self.maker(&key).or_else(|| source?.maker(&key));
            let maker = made.clone().unwrap_or(tenant.clone());
            self.makers
                .lock()
                .expect("no thread panics")
                .insert(key, maker);
            if let Some(maker) = made {
                self.uses.lock().expect("no thread panics").push(PartUse {
                    at: Instant::now(),
                    engine: self.name.clone(),
                    request: request.to_owned(),
                    tenant: tenant.clone(),
                    maker,
                    part: part.to_owned(),
                });
            }
        }
    }

    fn maker(&self, key: &(String, String)) -> Option<String> {
        let makers = self.makers.lock().expect("no thread panics");
        makers.get(key).cloned()
    }
}

/// Returns a service as a configuration names it.
pub fn service(name: &str, has_model: bool) -> Json {
    let mut fields = vec![
        ("Name".to_owned(), name.into()),
        ("HealthPath".to_owned(), "/health".into()),
        (
            "MaxConns".to_owned(),
            if has_model { 490 } else { 100 }.into(),
        ),
        ("Protocol".to_owned(), "h1".into()),
        ("Tls".to_owned(), false.into()),
    ];
    if has_model {
        let engine = object([
            ("Slots", (MODEL_SLOTS as u64).into()),
            ("KvCapacity", 82_259.into()),
            ("KvTokenBytes", 262_144.into()),
            ("LinkMbps", 1_100_000.into()),
            ("Models", vec![object([("Name", MODEL.into())])].into()),
        ]);
        fields.push(("Engine".to_owned(), engine));
    }
    Json::Object(fields)
}
