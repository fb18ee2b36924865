//! A small deployment: a store, engines, machines with real processes, and clients.

use crate::{
    engine::{Engine, MODEL, service},
    http::{exchange, wire},
    json::{Json, object},
    record::Record,
    store::Store,
};
use std::{
    collections::BTreeMap,
    error::Error,
    fs::{self, File},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread::{self, sleep},
    time::{Duration, Instant},
};

pub type Failure = Box<dyn Error + Send + Sync>;

pub const ZONES: [&str; 4] = ["alamo-a", "alamo-b", "alamo-c", "alamo-d"];

/// Name of the service whose engines have a model.
pub const MODEL_SERVICE: &str = "drafting-desk";

const HOST: &str = "desk.example";
const FRONT_PORT: u16 = 8_606;
const READY_PORT: u16 = 8_605;

/// Time after which traffic starts, so that the machines know each other.
const SETTLING: Duration = Duration::from_secs(3);

/// Returns a loopback address that is specific to this process.
fn loopback(number: usize) -> String {
    let process = std::process::id();
    format!(
        "127.{}.{}.{number}",
        100 + process % 100,
        process / 100 % 250
    )
}

/// Source of IDs that are the same in each run.
pub struct Ids(u64);

impl Ids {
    pub fn new(seed: u64) -> Ids {
        Ids(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn request(&mut self) -> String {
        format!("{:016x}", self.next())
    }
}

/// A machine with one process of the system.
pub struct Machine {
    pub name: String,
    pub zone: String,
    ip: String,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

impl Machine {
    fn address(&self, port: u16) -> SocketAddr {
        let ip = self.ip.parse().expect("it is an address");
        SocketAddr::new(ip, port)
    }

    /// Returns the address to which clients connect.
    pub fn front(&self) -> SocketAddr {
        self.address(FRONT_PORT)
    }

    fn write_settings(&self, seeds: &str, store: SocketAddr) -> Result<(), Failure> {
        let text = include_str!("../settings.txt")
            .replace("{name}", &self.name)
            .replace("{ip}", &self.ip)
            .replace("{zone}", &self.zone)
            .replace("{seeds}", seeds)
            .replace("{store}", &store.to_string());
        Ok(fs::write(&self.settings, text)?)
    }

    fn start(&mut self, root: &Path) -> Result<(), Failure> {
        let log = File::create(&self.log)?;
        // The command of the deploy file.
        let mut command = Command::new(root.join(wire("program")));
        command.arg("machine").current_dir(root).env_clear();
        command.env(wire("settings_variable"), &self.settings);
        command
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        self.process = Some(command.spawn()?);
        Ok(())
    }

    fn is_ready(&self) -> bool {
        let request = format!("GET {} HTTP/1.1\r\nHost: h\r\n\r\n", wire("ready_path"));
        let within = Duration::from_secs(1);
        exchange(self.address(READY_PORT), request.as_bytes(), within) == 200
    }

    /// Sends the process SIGTERM, as the platform does to stop it.
    fn terminate(&self) {
        if let Some(process) = &self.process {
            // Fails if the process has ended by itself.
            let command = format!("kill -TERM {}", process.id());
            let _ = Command::new("sh").args(["-c", &command]).status();
        }
    }

    /// Starts the process again if it has ended.
    fn restart_ended(&mut self, root: &Path) -> Result<bool, Failure> {
        let ended = match &mut self.process {
            Some(process) => process.try_wait()?.is_some(),
            None => false,
        };
        if ended {
            let text = fs::read_to_string(&self.settings)?;
            fs::write(
                &self.settings,
                text.replace("Bootstrap=true", "Bootstrap=false"),
            )?;
            self.start(root)?;
        }
        Ok(ended)
    }

    /// Kills the process, as a loss of power does.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            // Fails if the process has ended by itself.
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

/// A request of a client.
pub struct Request {
    pub tenant: &'static str,
    pub path: String,
    pub deadline_ms: u64,
    pub fields: Vec<(&'static str, String)>,
}

/// What became of a request.
#[derive(Debug, Clone)]
pub struct Sent {
    pub machine: String,
    /// Status of the answer; 0 if there was none.
    pub status: u16,
}

/// A store, engines and machines. All processes end when it is dropped.
pub struct Deployment {
    pub record: Record,
    pub store: Store,
    pub engines: Vec<Arc<Engine>>,
    pub machines: Vec<Machine>,
    pub configuration: Json,
    /// Requests that were sent, by their IDs.
    pub sent: Arc<Mutex<BTreeMap<String, Sent>>>,
    folder: PathBuf,
    clients: Vec<thread::JoinHandle<()>>,
}

impl Deployment {
    /// Starts a number of machines and the engines of one service, spread over the zones, and
    /// waits until all are ready.
    pub fn start(
        root: &Path,
        record: Record,
        machines: usize,
        engines: (&str, usize),
        routes: Vec<Json>,
        tenants: &[&str],
    ) -> Result<Deployment, Failure> {
        let folder = format!("mangowalk-review-{}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        fs::create_dir_all(&folder)?;
        let (service_name, count) = engines;
        let services = vec![service(service_name, service_name == MODEL_SERVICE)];
        let store = Store::start(&loopback(201))?;
        let mut deployment = Deployment {
            record,
            store,
            engines: Vec::new(),
            machines: Vec::new(),
            configuration: configuration(routes, services, tenants),
            sent: Arc::default(),
            folder,
            clients: Vec::new(),
        };
        for number in 0..count {
            deployment.add_engine(service_name, ZONES[number % ZONES.len()])?;
        }
        let configuration = deployment.configuration.clone();
        deployment.store.write("config", "main", configuration);
        deployment.start_machines(root, machines)?;
        Ok(deployment)
    }

    fn start_machines(&mut self, root: &Path, count: usize) -> Result<(), Failure> {
        for number in 0..count {
            let zone = ZONES[number % ZONES.len()];
            let name = format!("edge-{zone}-{}", 1 + number / ZONES.len());
            self.machines.push(Machine {
                settings: self.folder.join(format!("{name}.conf")),
                log: self.folder.join(format!("{name}.log")),
                zone: zone.to_owned(),
                ip: loopback(1 + number),
                process: None,
                name,
            });
        }
        let seeds = self.machines.iter().take(3);
        let seeds: Vec<String> = seeds
            .map(|machine| format!("{}:8608", machine.ip))
            .collect();
        for machine in &mut self.machines {
            machine.write_settings(&seeds.join(","), self.store.address)?;
            machine.start(root)?;
        }
        let until = Instant::now() + Duration::from_secs(20);
        while !self.machines.iter().all(Machine::is_ready) {
            if Instant::now() > until {
                return Err("the machines don't become ready".into());
            }
            sleep(Duration::from_millis(50));
        }
        sleep(SETTLING);
        Ok(())
    }

    /// Starts one more engine and lists it.
    pub fn add_engine(&mut self, service: &str, zone: &str) -> Result<Arc<Engine>, Failure> {
        let number = 1 + self.engines.len();
        let name = format!("i-{}{number:02}", &service[..4]);
        let (ip, has_model) = (loopback(210 + number), service == MODEL_SERVICE);
        let (store, record) = (&self.store, &self.record);
        let engine = Engine::start(&name, service, zone, has_model, &ip, store, record)?;
        self.engines.push(engine.clone());
        Ok(engine)
    }

    /// Names new weights.
    pub fn name_version(&self, version: u64) {
        let named = object([("Model", MODEL.into()), ("Version", version.into())]);
        self.store.write("versions", MODEL, named);
        let text = format!("the store has accepted version {version}");
        self.record.write(&text);
    }

    /// Returns the name of the machine that has last written the lease for orders.
    pub fn holder(&self) -> String {
        let holder = self.store.text("leases", "orders", "holder");
        holder.unwrap_or_default()
    }

    /// Sends a machine SIGTERM.
    pub fn terminate(&self, name: &str) {
        let mut machines = self.machines.iter();
        if let Some(machine) = machines.find(|machine| machine.name == name) {
            machine.terminate();
            self.record.write(&format!("{name} gets SIGTERM"));
        }
    }

    /// Starts the processes that have ended again, as the platform does.
    pub fn restart_ended(&mut self, root: &Path) -> Result<(), Failure> {
        for machine in &mut self.machines {
            if machine.restart_ended(root)? {
                self.record.write(&format!("{} starts again", machine.name));
            }
        }
        Ok(())
    }

    /// Sends a request to a machine, in a thread of its own.
    pub fn send(&mut self, machine: usize, id: String, request: &Request) {
        let machine = &self.machines[machine];
        let bytes = request.bytes(&id);
        let within = Duration::from_millis(request.deadline_ms);
        let (front, name) = (machine.front(), machine.name.clone());
        let tenant = request.tenant;
        self.record
            .write(&format!("client of {tenant} sends {id} to {name}"));
        let unanswered = Sent {
            machine: name,
            status: 0,
        };
        let sent = self.sent.clone();
        sent.lock()
            .expect("no thread panics")
            .insert(id.clone(), unanswered);
        let record = self.record.clone();
        self.clients.push(thread::spawn(move || {
            let status = exchange(front, &bytes, within);
            record.write(&format!("client gets {status} for {id}"));
            if let Some(sent) = sent.lock().expect("no thread panics").get_mut(&id) {
                sent.status = status;
            }
        }));
    }

    /// Waits until all requests are answered or given up.
    pub fn wait_for_clients(&mut self) {
        for client in self.clients.drain(..) {
            client.join().expect("no client panics");
        }
    }

    /// Returns the names of the engines that began to run a request, one for each run.
    pub fn runs_of(&self, request: &str) -> Vec<String> {
        let engines = self.engines.iter().flat_map(|engine| {
            let runs = engine.runs.lock().expect("no thread panics");
            let runs = runs.iter().filter(|run| *run == request).count();
            vec![engine.name.clone(); runs]
        });
        engines.collect()
    }

    /// Returns how many requests were sent, and how many of them were answered with 200.
    pub fn counts(&self) -> (usize, usize) {
        let sent = self.sent.lock().expect("no thread panics");
        let good = sent.values().filter(|sent| sent.status == 200).count();
        (sent.len(), good)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            machine.kill();
        }
        if std::env::var_os("KEEP_LOGS").is_some() {
            println!("logs are in {}", self.folder.display());
        } else {
            // Fails if the folder was cleaned meanwhile.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Request {
    fn bytes(&self, id: &str) -> Vec<u8> {
        let body = "{}";
        let mut text = format!(
            "POST {} HTTP/1.1\r\nHost: {HOST}\r\n{}: {id}\r\n{}: {}\r\n{}: {}\r\n",
            self.path,
            wire("request_id"),
            wire("deadline_ms"),
            self.deadline_ms,
            wire("key"),
            key_of(self.tenant),
        );
        for (name, value) in &self.fields {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
        text.into_bytes()
    }
}

fn key_of(tenant: &str) -> String {
    format!("key-of-{tenant}-0000000")
}

/// Returns a route whose paths begin with its name.
pub fn route(name: &str, kind: &str, service: &str) -> Json {
    object([
        ("Name", format!("r-{name}").as_str().into()),
        ("Host", HOST.into()),
        ("PathPrefix", format!("/{name}/").as_str().into()),
        ("Kind", kind.into()),
        ("TimeoutMs", 6_000.into()),
        ("TargetLatencyMs", 100.into()),
        ("TargetGapMs", 500.into()),
        ("Priority", 2.into()),
        ("Service", service.into()),
        ("MaxAttempts", 1.into()),
        ("Anonymous", false.into()),
        ("Sticky", (service == MODEL_SERVICE).into()),
        ("Resumable", false.into()),
    ])
}

/// Returns a tenant without a limit.
pub fn tenant(name: &str, is_isolated: bool) -> Json {
    object([
        ("Name", name.into()),
        ("ApiKeys", vec![key_of(name).as_str().into()].into()),
        ("Priority", 1.into()),
        ("Unit", "tokens".into()),
        ("PlainTokens", 200.into()),
        ("Isolated", is_isolated.into()),
        ("RatePerS", 0.into()),
        ("Burst", 0.into()),
    ])
}

fn configuration(routes: Vec<Json>, services: Vec<Json>, tenants: &[&str]) -> Json {
    let limits = object([
        ("MaxHeaderBytes", 16_384.into()),
        ("MaxBodyBytes", 4_194_304.into()),
        ("HeaderTimeoutMs", 3_000.into()),
        ("IdleTimeoutMs", 15_000.into()),
    ]);
    let tenants: Vec<Json> = tenants.iter().map(|name| tenant(name, false)).collect();
    object([
        ("Version", 7.into()),
        ("Routes", routes.into()),
        ("Services", services.into()),
        ("Limits", limits),
        ("Tenants", tenants.into()),
    ])
}

/// Returns a configuration with other tenants and a higher version.
pub fn with_tenants(configuration: &Json, tenants: Vec<Json>) -> Json {
    let Json::Object(fields) = configuration else {
        return Json::Null;
    };
    let fields = fields.iter().map(|(name, value)| {
        let value = match name.as_str() {
            "Version" => (value.number().unwrap_or(0) + 4).into(),
            "Tenants" => tenants.clone().into(),
            _ => value.clone(),
        };
        (name.clone(), value)
    });
    Json::Object(fields.collect())
}
