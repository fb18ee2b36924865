//! All open connections to the store go silent, while new ones work, and a key is taken away
//! just after that. Played five times, each time with new processes.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

use review_standins_3::{
    caller::{Caller, Exchange, HOST},
    deployment::{Deployment, ZONES},
    engine::{Engine, Runs},
    gate::Gate,
    record::Record,
    store::Store,
};
use std::collections::BTreeSet;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::thread;
use std::time::{Duration, Instant};

/// Key that stays.
const KEPT_KEY: &str = "wu3fexd9dnn2ctnfzs98";

/// Keys that are taken away, one before the connections go silent and one after.
const TAKEN_KEYS: [&str; 2] = ["key-taken-before", "key-taken-after"];

/// Number of plays.
const PLAYS: usize = 5;

const MACHINES: u8 = 3;

/// A model whose weights are named.
const MODEL: &str = "daka510000";

/// Age of the data that the store returns to calls which allow stale data.
const STALE_AGE: Duration = Duration::from_millis(300);

/// Time until the machines know each other.
const BEFORE: Duration = Duration::from_secs(7);

/// Pause between the two keys; the site has pauses from 0.1 to 1.5 s.
const KEY_PAUSE: Duration = Duration::from_millis(700);

/// Time from the first key until new weights are named and an engine's entry changes.
const WORK_AFTER: Duration = Duration::from_millis(100);

/// Time from the silence until the second key is taken away.
const SILENCE_LEAD: Duration = Duration::from_millis(100);

/// Bound of the site within which a configuration has to apply.
const APPLY_TIME: Duration = Duration::from_millis(2_000);

/// Time of the site after which a machine whose connections were reset is in touch again.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

/// Time from the second key until the end of a play.
const AFTER: Duration = Duration::from_secs(5);

/// The operator, who writes versions of the configuration.
struct Operator<'a> {
    store: &'a Store,
    record: &'a Record,
    version: u64,
    keys: Vec<&'static str>,
}

impl Operator<'_> {
    fn write(&mut self) {
        self.version += 3;
        let teams = self.keys.iter().enumerate().map(|(n, key)| {
            format!(
                "{{\"Name\":\"team{n}\",\"ApiKeys\":[\"{key}\"],\"Unit\":\"tokens\",\
                 \"PlainTokens\":200,\"Isolated\":false,\"RatePerS\":0,\"Burst\":0}}"
            )
        });
        let teams: Vec<String> = teams.collect();
        let configuration = format!(
            "{{\"Version\":{},\"Routes\":[{{\"Name\":\"order\",\"Host\":\"{HOST}\",\
             \"PathPrefix\":\"/fiti832/\",\"Kind\":\"non_idempotent\",\"TimeoutMs\":1000,\
             \"TargetLatencyMs\":100,\"Priority\":2,\"Service\":\"desk\",\"MaxAttempts\":1,\
             \"Anonymous\":false}}],\"Services\":[{{\"Name\":\"desk\",\"MaxConns\":100}}],\
             \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":100000,\
             \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\"Tenants\":[{}]}}",
            self.version,
            teams.join(",")
        );
        self.store.write("config", "main", &configuration);
    }

    /// Takes a key away, and returns when the store has acknowledged it.
    fn take_away(&mut self, key: &str) -> Instant {
        self.keys.retain(|kept| *kept != key);
        self.write();
        let version = self.version;
        self.record.add(&format!(
            "the store acknowledges version {version}, without {key}"
        ));
        Instant::now()
    }

    fn name_weights(&self, version: u64) {
        let spec = format!("{{\"Model\":\"{MODEL}\",\"Version\":{version}}}");
        self.store.write("versions", MODEL, &spec);
        self.record
            .add(&format!("version {version} of {MODEL} is named"));
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, program, folder, record] = arguments.as_slice() else {
        eprintln!("Arguments: the program, a temporary folder and the file of the record.");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(Path::new(record)) else {
        return ExitCode::from(2);
    };
    let record = Arc::new(record);
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let mut broken = 0;
    for number in 1..=PLAYS {
        record.add(&format!("play {number} of {PLAYS}"));
        let (program, folder, record) = (Path::new(program), Path::new(folder), record.clone());
        let deployment = Deployment::new(program, folder, record, MACHINES, STALE_AGE);
        match deployment.and_then(|deployment| play(&deployment, has_trouble)) {
            Some(holds) => broken += usize::from(!holds),
            None => return ExitCode::from(2),
        }
    }
    record.add(&format!("the rule was broken in {broken} of {PLAYS} plays"));
    ExitCode::from(u8::from(broken > 0))
}

/// Plays the case once, and returns whether the rule held; `None` if it can't be judged.
fn play(deployment: &Deployment, has_trouble: bool) -> Option<bool> {
    let (record, store) = (&deployment.record, &deployment.store);
    let [before, after] = TAKEN_KEYS;
    let mut operator = Operator {
        store,
        record,
        version: 2,
        keys: vec![KEPT_KEY, before, after],
    };
    operator.write();
    operator.name_weights(1);
    let runs = Runs::default();
    let engines: Vec<Engine> = (0..ZONES.len())
        .map(|n| {
            let host = &deployment.own_host;
            Engine::start(&engine_id(n), host, runs.clone(), record.clone())
        })
        .collect();
    let write_entry = |n: usize, cold_left_ms: u64| {
        let entry = engines[n].entry(&format!("alamo-{}", ZONES[n]), cold_left_ms);
        store.write("servers", &engine_id(n), &entry);
    };
    for n in 0..engines.len() {
        write_entry(n, 0);
    }
    let gate = Gate::start(&deployment.own_host, store.address);
    let machines = deployment.start_machines(gate.address)?;
    let until = Instant::now() + BEFORE + KEY_PAUSE + AFTER;
    let next_id = Arc::new(AtomicU64::new(1));
    let callers = machines
        .iter()
        .flat_map(|machine| [(machine, KEPT_KEY), (machine, after)]);
    let callers: Vec<_> = callers
        .map(|(machine, key)| {
            let caller = Caller {
                machine: machine.name.clone(),
                address: machine.front(),
                key,
                path: "/fiti832/ti23/2f",
                deadline_ms: 1_000,
            };
            caller.spawn(&next_id, until, record)
        })
        .collect();
    thread::sleep(BEFORE);
    operator.take_away(before);
    thread::sleep(WORK_AFTER);
    operator.name_weights(2);
    write_entry(0, 1);
    thread::sleep(KEY_PAUSE - WORK_AFTER - SILENCE_LEAD);
    let silent = Instant::now();
    if has_trouble {
        gate.silence_open_connections();
        record.add("the open connections to the store go silent; new ones work");
    }
    thread::sleep(SILENCE_LEAD);
    let taken = operator.take_away(after);
    let exchanges = callers.into_iter().filter_map(|caller| caller.join().ok());
    let exchanges: Vec<Exchange> = exchanges.flatten().collect();
    thread::sleep(Duration::from_millis(300));
    let runs = runs.lock().expect("not poisoned");
    let judged_from = (taken + APPLY_TIME).max(silent + STABLE_WINDOW);
    judge(&exchanges, &runs, taken, judged_from, record)
}

fn engine_id(n: usize) -> String {
    format!("i-7f3a91c{n}")
}

/// Checks the rule CONFIG: whether a request with the key that was taken away at `taken` ran,
/// though it was sent after `judged_from`, when the bound was over and the machines were in
/// touch. Returns whether the rule held; `None` if nothing can be judged.
fn judge(
    exchanges: &[Exchange],
    runs: &BTreeSet<String>,
    taken: Instant,
    judged_from: Instant,
    record: &Record,
) -> Option<bool> {
    let of_kept_key = exchanges.iter().filter(|exchange| exchange.key == KEPT_KEY);
    let (count, served) = of_kept_key.fold((0, 0), |(count, served), exchange| {
        (count + 1, served + usize::from(exchange.status() == 200))
    });
    record.add(&format!(
        "{served} of {count} requests with the kept key were served"
    ));
    if count == 0 || served * 10 < count * 8 {
        record.add("the deployment doesn't serve, so that nothing can be judged");
        return None;
    }
    let of_taken_key = exchanges.iter().filter(|exchange| exchange.key != KEPT_KEY);
    let late =
        of_taken_key.filter(|exchange| exchange.sent > judged_from && runs.contains(&exchange.id));
    let late: Vec<&Exchange> = late.collect();
    for exchange in &late {
        record.add(&format!(
            "CONFIG: {} was sent to {} {} ms after {} was taken away, and ran (answer: {})",
            exchange.id,
            exchange.machine,
            exchange.sent.saturating_duration_since(taken).as_millis(),
            exchange.key,
            exchange.status()
        ));
    }
    match late.len() {
        0 => record.add("the rule held"),
        late => record.add(&format!(
            "{late} requests ran with a key that was taken away"
        )),
    }
    Some(late.is_empty())
}
