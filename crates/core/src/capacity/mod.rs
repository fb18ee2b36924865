//! What engines can do at the moment, as they and the peers tell it.

mod pace_report;

pub use pace_report::PaceReport;
