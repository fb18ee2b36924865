//! Resource usage of routers without requests.

use {
    crate::process::{cpu_s, resident_kib},
    mangowalk_core::status::{ControlTraffic, InstanceStatus},
    mangowalk_standins::{
        Answer, EngineSettings, EngineStandIn, PlatformStandIn, RouterProcess, free_address,
    },
    serde_json::json,
    std::{env, net::SocketAddr, path::PathBuf, thread, time::Duration},
};

/// Time for a new fleet to settle before the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(12);

/// Duration of the measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(20);

/// Engine stand-ins, which all engine records share.
const ENGINES: usize = 4;

/// Number of routers, engine records and teams in a fleet.
struct FleetSize {
    routers: usize,
    engines: usize,
    teams: usize,
}

/// Resource usage of one router since its start, and its resident memory.
#[derive(Default)]
struct Usage {
    cpu_s: f64,
    resident_kib: f64,
    control: ControlTraffic,
}

/// Prints the usage for increasing numbers of routers, engines and teams.
pub(crate) fn measure() {
    println!("## One instance at rest, mean over the fleet\n");
    println!(
        "| instances | engines | teams | core % | memory KiB | platform calls/s | \
         platform B/s | peer B/s | engine B/s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for routers in [4, 12, 36] {
        measure_row(&FleetSize {
            routers,
            engines: 16,
            teams: 5,
        });
    }
    for engines in [160, 640] {
        measure_row(&FleetSize {
            routers: 4,
            engines,
            teams: 5,
        });
    }
    for teams in [58, 230] {
        measure_row(&FleetSize {
            routers: 4,
            engines: 16,
            teams,
        });
    }
}

fn measure_row(size: &FleetSize) {
    let platform = PlatformStandIn::start(free_address());
    let engines: Vec<EngineStandIn> = (0..ENGINES)
        .map(|_| EngineStandIn::start(free_address(), EngineSettings::default()))
        .collect();
    write_records(&platform, &engines, size);
    let routers: Vec<(RouterProcess, SocketAddr)> = (0..size.routers)
        .map(|_| start_router(platform.address()))
        .collect();
    for (router, _) in &routers {
        router.wait_ready();
    }
    thread::sleep(SETTLE_TIME);
    let before: Vec<Usage> = routers.iter().map(|(r, a)| read_usage(r, *a)).collect();
    thread::sleep(MEASUREMENT_TIME);
    let after: Vec<Usage> = routers.iter().map(|(r, a)| read_usage(r, *a)).collect();
    print(size, &before, &after);
}

fn start_router(platform: SocketAddr) -> (RouterProcess, SocketAddr) {
    let operator = free_address();
    let flag = format!("--operator-address={operator}");
    let program = program().to_string_lossy().into_owned();
    (RouterProcess::start(&program, platform, &[&flag]), operator)
}

/// Returns the path of `mangowalkd` in the parent folder of this example's.
fn program() -> PathBuf {
    let own = env::current_exe().unwrap_or_default();
    let folder = own.ancestors().nth(2).map(PathBuf::from);
    folder.unwrap_or_default().join("mangowalkd")
}

fn write_records(platform: &PlatformStandIn, engines: &[EngineStandIn], size: &FleetSize) {
    platform.put("model", "drafting", json!({ "schema": 1, "version": "v1" }));
    for i in 0..size.teams {
        let name = format!("team-{i}");
        let rate = json!({ "schema": 1, "tokens_per_s": 1_000, "burst_tokens": 10_000 });
        platform.put("team", &name, json!({ "schema": 1 }));
        platform.put("rate", &name, rate);
    }
    for i in 0..size.engines {
        let upstream = json!({
            "schema": 1,
            "address": engines[i % engines.len()].address(),
            "failure_domain": "a",
            "role": { "engine": { "model": "drafting", "checks_fencing": true } },
        });
        platform.put("upstream", &format!("engine-{i}"), upstream);
    }
}

fn read_usage(router: &RouterProcess, operator: SocketAddr) -> Usage {
    let pid = router.pid().unwrap_or_default();
    let answer = Answer::get(operator, "/status", &[]);
    let control = serde_json::from_str::<InstanceStatus>(&answer.body)
        .map(|status| status.control)
        .unwrap_or_default();
    Usage {
        cpu_s: cpu_s(pid),
        resident_kib: resident_kib(pid) as f64,
        control,
    }
}

fn print(size: &FleetSize, before: &[Usage], after: &[Usage]) {
    let window_s = MEASUREMENT_TIME.as_secs_f64();
    let mean = |value: &dyn Fn(&Usage, &Usage) -> f64| -> f64 {
        let sum: f64 = before.iter().zip(after).map(|(b, a)| value(b, a)).sum();
        sum / before.len() as f64
    };
    let rate = |counter: fn(&ControlTraffic) -> u64| -> f64 {
        mean(&|b, a| (counter(&a.control) - counter(&b.control)) as f64 / window_s)
    };
    println!(
        "| {} | {} | {} | {:.2} | {:.0} | {:.2} | {:.0} | {:.0} | {:.0} |",
        size.routers,
        size.engines,
        size.teams,
        mean(&|b, a| (a.cpu_s - b.cpu_s) * 100.0 / window_s),
        mean(&|_, a| a.resident_kib),
        rate(|c| c.platform_calls),
        rate(|c| c.platform_bytes),
        rate(|c| c.peer_bytes),
        rate(|c| c.engine_bytes),
    );
}
