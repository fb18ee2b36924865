//! Service-level burn: how fast each team's error budget is used up.
//!
//! Every instance counts what became of each request, per team, in cells of
//! three windows. It publishes counts and never percentiles: counts of all
//! instances add up exactly, percentiles do not. The report is made from the
//! sums.
//!
//! Load pattern: 230 teams, 20 requests a second an instance. Without cells a
//! window could only be cleared at once, and a report just after that would
//! show nothing of the failure that an operator is looking for.

mod counts;
mod end;
mod histogram;
mod ledger;
mod level;
mod objective;
mod observation;
mod published;
mod report;
mod row;
mod sliding_window;
mod window;

pub use {
    counts::Counts,
    end::End,
    histogram::{BOUNDS_MS, Histogram},
    ledger::Ledger,
    level::Level,
    objective::Objective,
    observation::Observation,
    published::{InstanceBurn, TeamBurn, WindowCounts},
    report::{BurnReport, TeamSummary},
    row::{BurnRow, WindowBurn},
    sliding_window::SlidingWindow,
    window::{CELLS_PER_WINDOW, Window},
};
