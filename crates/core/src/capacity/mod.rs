//! What engines can do at the moment, as they and the peers tell it.

mod engine_pace;
mod pace_report;
mod pace_settings;

pub use {engine_pace::EnginePace, pace_report::PaceReport, pace_settings::PaceSettings};
