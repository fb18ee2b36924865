//! Burn rates: how fast each team uses up its error budgets.
//!
//! Every instance counts the results of requests per team, in three sliding
//! windows that are divided into cells. It publishes counts and no percentiles,
//! since counts of several instances can be added and percentiles can't. The
//! report is computed from the sums.
//!
//! Load pattern: 230 teams, and 20 requests a second per instance. Without
//! cells a window could only be cleared as a whole, and a report right after
//! that would not show the failure that an operator is looking for.

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
    end::RequestEnd,
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
