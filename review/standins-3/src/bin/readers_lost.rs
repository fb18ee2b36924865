//! The two machines that read current data from the store lose power, and a key is taken away
//! just after that.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

use review_standins_3::{
    caller::{Caller, Exchange, HOST},
    deployment::{Deployment, ZONES},
    engine::{Engine, Run},
    record::Record,
};
use std::collections::BTreeSet;
use std::process::ExitCode;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Age of the data that the store returns to calls which allow stale data.
const STALE_AGE: Duration = Duration::from_secs(3);

/// Keys of three teams. The second is taken away first, and the third one after it.
const KEYS: [&str; 3] = ["wu3fexd9dnn2ctnfzs98", "key-taken-first", "key-taken-next"];

const MACHINES: u8 = 4;

/// Machines that lose power, by their place.
const LOST: [usize; 2] = [0, 1];

/// Time until all instances know who reads current data.
const BEFORE: Duration = Duration::from_secs(7);

/// Pause between the two keys that are taken away, as at the site.
const KEY_PAUSE: Duration = Duration::from_millis(1_500);

/// Time from the loss of power until the second key is taken away.
const LOSS_LEAD: Duration = Duration::from_millis(200);

/// Time for which the machines are without power, as at the site.
const DOWN: Duration = Duration::from_millis(3_500);

/// Bound of the site within which a configuration has to apply.
const APPLY_TIME: Duration = Duration::from_millis(2_000);

/// Time for which callers go on after the power is back.
const AFTER: Duration = Duration::from_secs(3);

/// Returns a version of the configuration with the first so many keys and, of the others, none.
fn configuration(version: u64, keys: &[&str]) -> String {
    let teams = KEYS.iter().enumerate().map(|(n, key)| {
        let held = if keys.contains(key) {
            format!("\"{key}\"")
        } else {
            String::new()
        };
        format!(
            "{{\"Name\":\"team{n}\",\"ApiKeys\":[{held}],\"Unit\":\"tokens\",\"PlainTokens\":200,\
             \"Isolated\":false,\"RatePerS\":0,\"Burst\":0}}"
        )
    });
    let teams: Vec<String> = teams.collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{{\"Name\":\"order\",\"Host\":\"{HOST}\",\
         \"PathPrefix\":\"/fiti832/\",\"Kind\":\"non_idempotent\",\"TimeoutMs\":1000,\
         \"TargetLatencyMs\":100,\"Priority\":2,\"Service\":\"desk\",\"MaxAttempts\":1,\
         \"Anonymous\":false}}],\"Services\":[{{\"Name\":\"desk\",\"MaxConns\":100}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":100000,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}},\"Tenants\":[{}]}}",
        teams.join(",")
    )
}

fn main() -> ExitCode {
    run().unwrap_or(ExitCode::from(2))
}

fn run() -> Option<ExitCode> {
    let deployment = Deployment::prepare(MACHINES, STALE_AGE)?;
    let (record, store) = (&deployment.record, &deployment.store);
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    store.write("config", "main", &configuration(5, &KEYS));
    for (n, zone) in ZONES.iter().enumerate() {
        let id = format!("i-7f3a91c{n}");
        let (host, never) = (&deployment.own_host, Arc::new(|_: &str| false));
        let engine = Engine::start(&id, host, runs.clone(), record.clone(), never);
        let born_ms = 1_700_000_000_000 + n as u64;
        store.write(
            "servers",
            &id,
            &engine.entry("desk", &format!("alamo-{zone}"), "ready", born_ms),
        );
    }
    let mut machines = deployment.start_machines()?;
    let until = Instant::now() + BEFORE + KEY_PAUSE + DOWN + AFTER;
    let next_id = Arc::new(AtomicU64::new(1));
    let callers = machines
        .iter()
        .flat_map(|machine| KEYS.map(|key| (machine, key)));
    let callers: Vec<_> = callers
        .map(|(machine, key)| {
            let caller = Caller {
                machine: machine.name.clone(),
                address: machine.front(),
                key,
                path: "/fiti832/ti23/2f",
                deadline_ms: 1_000,
                headers: String::new(),
            };
            caller.spawn(&next_id, until, record)
        })
        .collect();
    thread::sleep(BEFORE);
    store.write("config", "main", &configuration(8, &[KEYS[0], KEYS[2]]));
    let first_taken = Instant::now();
    record.add(&format!(
        "the store acknowledges version 8, without {}",
        KEYS[1]
    ));
    thread::sleep(KEY_PAUSE - LOSS_LEAD);
    if deployment.has_trouble {
        for lost in LOST {
            machines[lost].kill();
            record.add(&format!("{} loses power", machines[lost].name));
        }
    }
    thread::sleep(LOSS_LEAD);
    store.write("config", "main", &configuration(13, &[KEYS[0]]));
    let next_taken = Instant::now();
    record.add(&format!(
        "the store acknowledges version 13, without {}",
        KEYS[2]
    ));
    thread::sleep(DOWN - LOSS_LEAD);
    if deployment.has_trouble {
        for lost in LOST {
            machines[lost].start();
            record.add(&format!("{} has power again", machines[lost].name));
        }
    }
    let exchanges = callers
        .into_iter()
        .filter_map(|caller| caller.join().ok())
        .flatten();
    let exchanges: Vec<Exchange> = exchanges.collect();
    thread::sleep(Duration::from_millis(300));
    let lost = LOST.map(|lost| machines[lost].name.as_str());
    let taken = [(KEYS[1], first_taken), (KEYS[2], next_taken)];
    let runs = runs.lock().expect("not poisoned");
    judge(&exchanges, &runs, &taken, &lost, record)
}

/// Checks the rule CONFIG: whether a request with a key that was taken away ran, though it was
/// sent to a machine in touch later than the bound after the acknowledgement. The machines that
/// lose power don't count. Returns `None` if nothing can be judged.
fn judge(
    exchanges: &[Exchange],
    runs: &[Run],
    taken: &[(&str, Instant)],
    lost: &[&str],
    record: &Record,
) -> Option<ExitCode> {
    let ran: BTreeSet<&str> = runs.iter().map(|run| run.request.as_str()).collect();
    let of_kept_key = exchanges.iter().filter(|exchange| exchange.key == KEYS[0]);
    let in_touch = of_kept_key.filter(|exchange| !lost.contains(&exchange.machine.as_str()));
    let (count, served) = in_touch.fold((0, 0), |(count, served), exchange| {
        (count + 1, served + usize::from(exchange.status() == 200))
    });
    record.add(&format!(
        "{served} of {count} requests with the kept key were served in touch"
    ));
    if count == 0 || served * 10 < count * 8 {
        return None;
    }
    let mut late = 0;
    for exchange in exchanges
        .iter()
        .filter(|exchange| ran.contains(exchange.id.as_str()))
    {
        let taken = taken.iter().find(|(key, _)| *key == exchange.key);
        let Some((_, at)) = taken.filter(|_| !lost.contains(&exchange.machine.as_str())) else {
            continue;
        };
        let after = exchange.sent.saturating_duration_since(*at);
        if after > APPLY_TIME {
            late += 1;
            record.add(&format!(
                "CONFIG: {} was sent to {} {} ms after {} was taken away, and ran (answer: {})",
                exchange.id,
                exchange.machine,
                after.as_millis(),
                exchange.key,
                exchange.status()
            ));
        }
    }
    match late {
        0 => record.add("the rule held"),
        late => record.add(&format!(
            "{late} requests ran with a key that was taken away"
        )),
    }
    Some(ExitCode::from(u8::from(late > 0)))
}
