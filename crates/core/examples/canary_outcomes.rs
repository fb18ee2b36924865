//! Prints what becomes of good and bad software versions over many simulated roll-outs.
//! The argument is the number of seeds for each row, 200 by default; a second
//! one selects the rows whose name contains it.

#[path = "../tests/canary/fleet.rs"]
mod fleet;
#[path = "../tests/canary/versions.rs"]
mod versions;

use {
    fleet::{FleetModel, play},
    mangowalk_core::canary::{ExposureLimits, Outcome},
    std::collections::BTreeMap,
};

/// Results of many plays.
#[derive(Debug, Default)]
struct Tally {
    plays: u32,
    completed: u32,
    rolled_back: u32,
    over_exposed: u32,
    late: u32,
    cut_off: u32,
    max_exposed_ratio: f64,
    max_after_limit_ms: u64,
    reasons: BTreeMap<String, u32>,
}

/// Plays an order with many seeds.
fn play_many(model: &FleetModel, seeds: std::ops::Range<u64>) -> Tally {
    let limits = ExposureLimits::default();
    let mut tally = Tally::default();
    for seed in seeds {
        let played = play(model, seed);
        tally.plays += 1;
        tally.completed += u32::from(played.outcome == Some(Outcome::Completed));
        tally.rolled_back += u32::from(played.outcome == Some(Outcome::RolledBack));
        tally.over_exposed += u32::from(played.is_over_exposed(&limits));
        tally.late += u32::from(played.decided_ms > model.duration_ms);
        tally.cut_off += played.cut_off;
        let ratio = f64::from(played.exposed) / f64::from(played.requests.max(1));
        tally.max_exposed_ratio = tally.max_exposed_ratio.max(ratio);
        tally.max_after_limit_ms = tally.max_after_limit_ms.max(played.after_limit_ms);
        *tally.reasons.entry(played.reason).or_default() += 1;
    }
    tally
}

fn main() {
    let seeds = std::env::args()
        .nth(1)
        .and_then(|count| count.parse().ok())
        .unwrap_or(200);
    println!(
        "| version | completed | rolled back | over-exposed | late | most exposed | longest after limit, ms | cut off |"
    );
    println!("| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    let only = std::env::args().nth(2);
    let is_wanted = |name: &str| {
        only.as_ref()
            .is_none_or(|only| name.contains(only.as_str()))
    };
    for (name, model) in versions::good().into_iter().chain(versions::bad()) {
        if !is_wanted(name) {
            continue;
        }
        let tally = play_many(&model, 0..seeds);
        println!(
            "| {name} | {} | {} | {} | {} | {:.1}% | {} | {} |",
            tally.completed,
            tally.rolled_back,
            tally.over_exposed,
            tally.late,
            tally.max_exposed_ratio * 100.0,
            tally.max_after_limit_ms,
            tally.cut_off,
        );
        if std::env::var_os("REASONS").is_some() {
            println!("    {:?}", tally.reasons);
        }
    }
}
