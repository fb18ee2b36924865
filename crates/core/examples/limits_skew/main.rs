//! Counts wrongful refusals under skewed load: requests refused although one
//! bucket for the whole fleet would have had their tokens.
//!
//! `cargo run --release -p mangowalk-core --example limits_skew`

mod fleet;
mod load;

use {
    fleet::{Fleet, Policy},
    load::{Load, arrivals},
};

/// Simulated time of one row.
const SPAN_MS: u64 = 120_000;

fn main() {
    println!(
        "| instances | offered | at one instance | policy | requests | refused | wrongful | asked peers | tokens used of rate |"
    );
    println!("| ---: | ---: | ---: | --- | ---: | ---: | ---: | ---: | ---: |");
    for instances in [7, 50, 350] {
        for (offered_percent, skew_percent) in [(60, 0), (80, 0), (80, 50), (80, 100), (300, 50)] {
            for policy in [Policy::Static, Policy::Moves, Policy::MovesAndWait] {
                print_row(
                    &Load {
                        instances,
                        offered_percent,
                        skew_percent,
                        span_ms: SPAN_MS,
                        ..Load::default()
                    },
                    policy,
                );
            }
        }
    }
}

fn print_row(load: &Load, policy: Policy) {
    let requests = arrivals(load);
    let ideal = Fleet::new(1, &load.rate, Policy::Static).run(&requests);
    let mut fleet = Fleet::new(load.instances, &load.rate, policy);
    let real = fleet.run(&requests);
    let refused = real.iter().filter(|ok| !**ok).count();
    let wrongful = real
        .iter()
        .zip(&ideal)
        .filter(|(real, ideal)| !**real && **ideal)
        .count();
    let percent = |part: usize| part as f64 * 100.0 / requests.len() as f64;
    let refilled_tokens = load.rate.tokens_per_s * load.span_ms / 1_000;
    println!(
        "| {} | {} % | {} % | {policy:?} | {} | {:.1} % | {:.1} % | {:.2} a request | {:.0} % |",
        load.instances,
        load.offered_percent,
        load.skew_percent,
        requests.len(),
        percent(refused),
        percent(wrongful),
        fleet.peer_requests as f64 / requests.len() as f64,
        fleet.used_tokens as f64 * 100.0 / refilled_tokens as f64,
    );
}
