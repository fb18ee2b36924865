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
