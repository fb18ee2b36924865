//! Soak test: runs instances as real processes under a series of overlapping faults
//! and checks the guarantees to callers, teams and engines.
//!
//! A seed determines the schedule of faults. `SOAK_SEEDS=FIRST-LAST[,FIRST-LAST]` selects
//! other seeds than the default ones. `SOAK_S` sets the time for which faults are injected,
//! in seconds, and `SOAK_MACHINES` the number of instances.

mod check;
mod check_load;
mod crashing_part;
mod faults;
mod held_streams;
mod notices;
mod out_of_step;
mod peer_cuts;
mod play;
mod release;
mod schedule;
mod traffic;

use {
    play::run_seed,
    std::{env, time::Duration},
};

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_mangowalkd");

/// Seeds without `SOAK_SEEDS`, first and last of each range.
const SEEDS: &str = "7-8,1000-1000";

/// Time for which faults are injected without `SOAK_S`, in seconds.
const FAULTS_S: u64 = 20;

/// Number of instances without `SOAK_MACHINES`.
const MACHINES: usize = 4;

#[test]
fn guarantees_hold_under_overlapping_faults() {
    let seeds = env::var("SOAK_SEEDS").unwrap_or_else(|_| SEEDS.to_owned());
    let number = |text: &str| text.parse::<u64>().expect("a number");
    let seconds = env::var("SOAK_S").map_or(FAULTS_S, |text| number(&text));
    let machines = env::var("SOAK_MACHINES").map_or(MACHINES, |text| number(&text) as usize);
    let mut failed = Vec::new();
    let ranges = seeds.split(',').map(|range| {
        let (first, last) = range.split_once('-').expect("two numbers");
        number(first)..=number(last)
    });
    for seed in ranges.flatten() {
        let violations = run_seed(seed, Duration::from_secs(seconds), machines);
        if !violations.is_empty() {
            eprintln!("seed {seed}:\n{}", violations.join("\n"));
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "seeds with a broken promise: {failed:?}");
}
