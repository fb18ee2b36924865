//! Engines answer some requests twice; the second answer arrives late.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

use review_standins_3::{
    caller::{Caller, Exchange, HOST},
    deployment::{Deployment, ZONES},
    engine::{Engine, Run},
    record::Record,
};
use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const KEY: &str = "wu3fexd9dnn2ctnfzs98";
const MACHINES: u8 = 3;

/// Half of the engines have the fault, in 3 of 100 answers; the site's dose is 0.6 of them and
/// 0.03 of the answers.
const FAULTY_ENGINES: [&str; 2] = ["i-7f3a91c0", "i-7f3a91c1"];
const SECOND_ANSWER_EVERY: u64 = 34;

/// Length of the disruption, as at the site, and the time before and after it.
const DISRUPTED: Duration = Duration::from_secs(5);
const BEFORE: Duration = Duration::from_secs(5);
const AFTER: Duration = Duration::from_secs(3);

const CALLERS: usize = 8;

fn configuration() -> String {
    format!(
        "{{\"Version\":5,\"Routes\":[{{\"Name\":\"order\",\"Host\":\"{HOST}\",\
         \"PathPrefix\":\"/fiti832/\",\"Kind\":\"non_idempotent\",\"TimeoutMs\":1000,\
         \"TargetLatencyMs\":100,\"Priority\":2,\"Service\":\"desk\",\"MaxAttempts\":1,\
         \"Anonymous\":false}}],\"Services\":[{{\"Name\":\"desk\",\"MaxConns\":100}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":100000,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"sese880\",\"ApiKeys\":[\"{KEY}\"],\
         \"Unit\":\"tokens\",\"PlainTokens\":200,\"Isolated\":false,\"RatePerS\":0,\"Burst\":0}}]}}"
    )
}

fn main() -> ExitCode {
    run().unwrap_or(ExitCode::from(2))
}

fn run() -> Option<ExitCode> {
    let deployment = Deployment::prepare(MACHINES, Duration::ZERO)?;
    let (record, store) = (&deployment.record, &deployment.store);
    let (is_disrupted, answered) = (Arc::new(AtomicBool::new(false)), AtomicU64::new(0));
    let is_on = is_disrupted.clone();
    let answers_twice = Arc::new(move |engine: &str| {
        is_on.load(Ordering::Relaxed)
            && FAULTY_ENGINES.contains(&engine)
            && answered.fetch_add(1, Ordering::Relaxed) % SECOND_ANSWER_EVERY == 8
    });
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    store.write("config", "main", &configuration());
    for (n, zone) in ZONES.iter().enumerate() {
        let id = format!("i-7f3a91c{n}");
        let (host, answers_twice) = (&deployment.own_host, answers_twice.clone());
        let engine = Engine::start(&id, host, runs.clone(), record.clone(), answers_twice);
        let born_ms = 1_700_000_000_000 + n as u64;
        store.write(
            "servers",
            &id,
            &engine.entry("desk", &format!("alamo-{zone}"), "ready", born_ms),
        );
    }
    let machines = deployment.start_machines()?;
    let until = Instant::now() + BEFORE + DISRUPTED + AFTER;
    let next_id = Arc::new(AtomicU64::new(1));
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let machine = &machines[n % machines.len()];
            let caller = Caller {
                machine: machine.name.clone(),
                address: machine.front(),
                key: KEY,
                path: "/fiti832/ti23/2f",
                deadline_ms: 1_000,
                headers: String::new(),
            };
            caller.spawn(&next_id, until, record)
        })
        .collect();
    thread::sleep(BEFORE);
    if deployment.has_trouble {
        record.add("the disruption begins: two of four engines answer 3 in 100 requests twice");
        is_disrupted.store(true, Ordering::Relaxed);
    }
    thread::sleep(DISRUPTED);
    is_disrupted.store(false, Ordering::Relaxed);
    record.add("the disruption is over");
    let exchanges = callers
        .into_iter()
        .filter_map(|caller| caller.join().ok())
        .flatten();
    let exchanges: Vec<Exchange> = exchanges.collect();
    thread::sleep(Duration::from_millis(300));
    let runs = runs.lock().expect("not poisoned");
    judge(&exchanges, &runs, record)
}

/// Checks the rules TWICE and REFUSED of requests that aren't idempotent. Returns `None` if
/// nothing can be judged.
fn judge(exchanges: &[Exchange], runs: &[Run], record: &Record) -> Option<ExitCode> {
    let mut engines: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for run in runs {
        engines.entry(&run.request).or_default().push(&run.engine);
    }
    let served = exchanges
        .iter()
        .filter(|exchange| exchange.status() == 200)
        .count();
    record.add(&format!(
        "{} requests, {served} answered 200, {} runs",
        exchanges.len(),
        runs.len()
    ));
    if served * 10 < exchanges.len() * 8 {
        record.add("the deployment doesn't serve, so that nothing can be judged");
        return None;
    }
    let mut is_broken = false;
    for exchange in exchanges {
        let (id, status) = (&exchange.id, exchange.status());
        let ran = engines.get(id.as_str()).cloned().unwrap_or_default();
        if ran.len() > 1 {
            record.add(&format!(
                "TWICE: {id} ran at {} (answer: {status})",
                ran.join(" and ")
            ));
            is_broken = true;
        }
        if matches!(status, 408 | 421 | 429 | 503) && !ran.is_empty() {
            record.add(&format!(
                "REFUSED: {id} was answered {status} and ran at {}",
                ran.join(" and ")
            ));
            is_broken = true;
        }
    }
    if !is_broken {
        record.add("the rules held");
    }
    Some(ExitCode::from(u8::from(is_broken)))
}
