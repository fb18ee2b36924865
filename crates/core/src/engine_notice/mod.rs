//! What engines say of themselves in their answers: that they want no requests for a while,
//! or that they leave. Unlike health and load, it bounds what may be sent.

mod barrier;
mod engine_notices;
mod leaving_report;
mod notice;
mod retry_after;
mod settings;

pub use {
    barrier::SendBarrier,
    engine_notices::{EngineNotices, NoticeSummary},
    leaving_report::LeavingReport,
    retry_after::retry_after_ms,
    settings::NoticeSettings,
};
