//! Measures time, memory and size of the burn report for several numbers of
//! teams and instances:
//! `cargo run --release -p mangowalk-core --example burn_capacity`.

use {
    mangowalk_core::burn::{BurnReport, InstanceBurn, Ledger, Observation, RequestEnd},
    std::{net::SocketAddr, time::Instant},
};

/// Number of requests recorded per measurement.
const REQUESTS: u64 = 1_000_000;

/// Number of reports computed per measurement; the median is printed.
const REPORTS: usize = 5;

const OBJECTIVE_MS: u64 = 600;

fn main() {
    println!("teams  note_ns  memory_kib  published_kib");
    for teams in [23, 115, 230] {
        let (ledger, note_ns) = filled_ledger(teams);
        let published = serde_json::to_vec(&instance_burn(&ledger)).map_or(0, |body| body.len());
        let memory_kib = ledger.memory_bytes() / 1_024;
        println!(
            "{teams:5}  {note_ns:7}  {memory_kib:10}  {:13}",
            published / 1_024
        );
    }
    println!("instances  teams  report_ms");
    for instances in [7, 70, 350] {
        let (ledger, _) = filled_ledger(230);
        let published = vec![instance_burn(&ledger); instances];
        println!("{instances:9}    230  {:9.1}", report_ms(&published));
    }
}

/// Returns a ledger in which every cell holds counts, and the mean time to
/// record one request in nanoseconds.
fn filled_ledger(teams: u64) -> (Ledger, u64) {
    let names: Vec<String> = (0..teams).map(|t| format!("team-{t:03}")).collect();
    let mut ledger = Ledger::default();
    let started = Instant::now();
    for request in 0..REQUESTS {
        let observation = Observation {
            first_token_ms: Some(request % 1_000),
            end: RequestEnd::Complete,
            tokens: 4_000 + request % 100,
        };
        let now_ms = request * 21_600_000 / REQUESTS;
        ledger.record(
            &names[(request % teams) as usize],
            &observation,
            OBJECTIVE_MS,
            now_ms,
        );
    }
    (ledger, started.elapsed().as_nanos() as u64 / REQUESTS)
}

fn instance_burn(ledger: &Ledger) -> InstanceBurn {
    InstanceBurn {
        caller_address: SocketAddr::from(([127, 0, 0, 1], 7_000)),
        teams: ledger.publish(21_600_000),
    }
}

fn report_ms(published: &[InstanceBurn]) -> f64 {
    let mut times: Vec<f64> = (0..REPORTS)
        .map(|_| {
            let started = Instant::now();
            let report = BurnReport::of(published.iter().flat_map(|i| &i.teams));
            assert!(!report.rows.is_empty());
            started.elapsed().as_secs_f64() * 1e3
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[REPORTS / 2]
}
