//! What callers of short and of long prompts get while more long prompts arrive than usual.
//!
//! The play of a deployment with 60 engines, a third of them lost, scaled down: instances choose
//! engines by what they have sent themselves and what the others told up to 200 ms before. A
//! refused caller comes back once.

mod decisions;
mod engine;
mod fleet;
mod kind;

use {
    decisions::Decisions,
    fleet::{Play, play},
    kind::{LONG, SHORT},
};

/// Guards against short prompts that are late or refused because of long ones, and against long
/// prompts that are refused although they could be served before their deadlines.
#[test]
fn short_prompts_are_in_time_and_long_ones_are_served() {
    let mut lines = Vec::new();
    for burst_per_s in [350.0, 450.0, 600.0] {
        lines.push(format!("{burst_per_s} long prompts per second"));
        for decisions in [Decisions::Before, Decisions::Bounded, Decisions::Waiting] {
            let load = Play {
                burst_per_s,
                ..Play::default()
            };
            let results = play(decisions, &load);
            for kind in [SHORT, LONG] {
                lines.push(format!("{decisions:?} {}", results.describe(kind)));
            }
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against a fleet of another size in which the decisions serve less, at 1.5 times the
/// load of long prompts that the engines can take.
#[test]
fn an_overload_is_served_as_well_at_any_size() {
    let mut lines = Vec::new();
    for (instances, engines) in [(7, 4), (100, 50), (300, 50)] {
        let overload = Play {
            instances,
            engines,
            scale: engines as f64 / 42.0,
            burst_per_s: 900.0,
            seeds: 1,
            ..Play::default()
        };
        lines.push(format!("{instances} instances, {engines} engines"));
        for decisions in [Decisions::Before, Decisions::Waiting] {
            let results = play(decisions, &overload);
            for kind in [SHORT, LONG] {
                let line = results.describe_returned(kind);
                lines.push(format!("{decisions:?} {line}"));
            }
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
}
