//! A small fleet for tests of clients in other languages, controlled through
//! standard input.
//!
//! `client_fleet PROGRAM` starts the fleet, prints `URL`, `KEY` and `POOR_KEY`, and
//! then runs one command per line of its input, each acknowledged with `done`:
//! `break` makes every engine fail, `delay` makes the service slow, and any other
//! command, such as `heal`, ends these faults. It exits at the end of the input.

use {
    mangowalk_core::record::digest_of,
    mangowalk_standins::{EngineFaults, Fleet, FleetSettings, ServiceFaults},
    serde_json::json,
    std::{env, io},
};

/// Key of a team with a rate of 1 token per second and a burst of 100 tokens.
const POOR_KEY: &str = "mw-test-key-poor";

/// Delay of the service's answers after `delay`.
const DELAY_MS: u64 = 3_000;

fn main() {
    let Some(program) = env::args().nth(1) else {
        eprintln!("usage: client_fleet PROGRAM");
        return;
    };
    let fleet = Fleet::start(&FleetSettings {
        program,
        ..FleetSettings::default()
    });
    add_poor_team(&fleet);
    fleet.wait_until_served();
    println!("URL=http://{}/v1", fleet.routers[0].address());
    println!("KEY={}", Fleet::KEY);
    println!("POOR_KEY={POOR_KEY}");
    for line in io::stdin().lines().map_while(Result::ok) {
        run_command(&fleet, &line);
        println!("done");
    }
}

fn add_poor_team(fleet: &Fleet) {
    let rate = json!({ "schema": 1, "tokens_per_s": 1, "burst_tokens": 100 });
    let key = json!({ "schema": 1, "team": "poor", "digest": digest_of(POOR_KEY) });
    fleet.platform.put("team", "poor", json!({ "schema": 1 }));
    fleet.platform.put("rate", "poor", rate);
    fleet.platform.put("key", "poor-1", key);
}

/// Sets the faults of a command, and ends those of the command before it.
fn run_command(fleet: &Fleet, line: &str) {
    let refuse_status = (line == "break").then_some(500);
    for engine in &fleet.engines {
        engine.set_faults(EngineFaults {
            refuse_status,
            ..EngineFaults::default()
        });
    }
    let delay_ms = if line == "delay" { DELAY_MS } else { 0 };
    fleet.service.set_faults(ServiceFaults {
        delay_ms,
        ..ServiceFaults::default()
    });
}
