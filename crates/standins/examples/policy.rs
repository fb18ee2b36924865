//! Prints a table that compares the router's policies with simple baselines: the
//! users' five figures for both deployments, over several seeds.
//!
//! `cargo run --release -p mangowalk-standins --example policy [SEEDS] [TEXT]`
//! prints the rows whose deployment, pattern or policy contains the text.

use {
    mangowalk_standins::{Deployment, Figures, Pattern, PolicyKind, RunSettings, Spread, simulate},
    std::{env, thread},
};

/// Number of concurrent runs.
const THREADS: usize = 4;

fn main() {
    let mut args = env::args().skip(1);
    let seeds = args.next().and_then(|a| a.parse().ok()).unwrap_or(5);
    let filters: Vec<String> = args.collect();
    println!(
        "| deployment | pattern | policy | hit rate % | p99 first token ms | recomputed % | worst team % | refused in rate % | of alone % |"
    );
    println!("| --- | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: |");
    for deployment in [Deployment::calloway(), Deployment::atlas_jamal()] {
        for pattern in Pattern::ALL {
            for policy in PolicyKind::ALL {
                let label = format!("{} | {pattern} | {policy}", deployment.name);
                let is_selected = filters.iter().all(|f| label.contains(f.as_str()));
                if is_selected {
                    let settings = RunSettings {
                        deployment: deployment.clone(),
                        pattern,
                        policy,
                        ..RunSettings::default()
                    };
                    println!("| {label} | {} |", row(&settings, seeds));
                }
            }
        }
    }
}

fn row(settings: &RunSettings, seeds: u64) -> String {
    let runs = over_seeds(settings, seeds);
    let of = |read: fn(&Figures) -> f64| Spread::of(runs.iter().map(read));
    let mut cells = vec![
        cell(of(|f| f.hit_percent)),
        cell(of(|f| f.p99_ms)),
        cell(of(|f| f.recomputed_percent)),
        cell(of(|f| f.worst_team_percent)),
        cell(of(|f| f.refused_percent)),
    ];
    cells.push(share_of_alone(settings, seeds, &runs).map_or_else(String::new, cell));
    cells.join(" | ")
}

fn cell(spread: Spread) -> String {
    format!("{:.1} ±{:.1}", spread.mean, spread.max_deviation)
}

/// Returns the tokens that a team within its rate is served while other teams
/// exceed theirs, in percent of what it is served without them: the lowest of
/// any team. Returns `None` for patterns without such teams.
fn share_of_alone(settings: &RunSettings, seeds: u64, runs: &[Figures]) -> Option<Spread> {
    let flood_patterns = [
        Pattern::Overload150Percent,
        Pattern::Overload300Percent,
        Pattern::OverloadWithoutRates,
        Pattern::OneTeamOverRate,
    ];
    if !flood_patterns.contains(&settings.pattern) {
        return None;
    }
    let alone = RunSettings {
        without_flood: true,
        ..settings.clone()
    };
    let alone = over_seeds(&alone, seeds);
    let lowest = runs.iter().zip(&alone).map(|(beside, alone)| {
        let teams = beside.served_tokens.iter().zip(&alone.served_tokens);
        teams
            .filter(|(_, alone)| **alone > 0)
            .map(|(beside, alone)| 100.0 * *beside as f64 / *alone as f64)
            .fold(f64::INFINITY, f64::min)
    });
    Some(Spread::of(lowest))
}

fn over_seeds(settings: &RunSettings, seeds: u64) -> Vec<Figures> {
    let all: Vec<u64> = (1..=seeds).collect();
    let mut figures = Vec::new();
    for group in all.chunks(THREADS) {
        thread::scope(|scope| {
            let running: Vec<_> = group
                .iter()
                .map(|seed| {
                    let settings = RunSettings {
                        seed: *seed,
                        ..settings.clone()
                    };
                    scope.spawn(move || simulate(&settings))
                })
                .collect();
            let done = running.into_iter().map(|r| r.join().expect("a run"));
            figures.extend(done);
        });
    }
    figures
}
