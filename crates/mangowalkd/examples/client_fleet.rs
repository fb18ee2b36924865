//! A small fleet for a client of another language, driven line by line.
//!
//! `client_fleet PROGRAM` starts it, prints `URL`, `KEY` and `POOR_KEY`, and
//! then follows the lines of its input, each answered with `done`: `break`
//! makes every engine fail, `heal` mends them, `delay` makes the service
//! slow. It ends with its input.

use {
    mangowalk_core::record::digest_of,
    mangowalk_standins::{EngineFaults, Fleet, FleetSettings, ServiceFaults},
    serde_json::json,
    std::{env, io},
};

/// Key of a team whose rate allows next to nothing.
const POOR_KEY: &str = "mw-test-key-poor";

/// Time that a slow service needs.
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
        follow(&fleet, &line);
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

fn follow(fleet: &Fleet, line: &str) {
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
