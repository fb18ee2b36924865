//! Handles callers' requests: reads them, chooses an engine, sends and retries
//! them, and forwards the answer.

mod answer;
mod attempt;
mod backlog;
mod buffered;
mod classify;
mod completion;
mod directory;
mod forwarded_headers;
mod guards;
mod listener;
mod pass_on;
mod plan;
mod progress;
mod rate_charge;
mod refusal;
mod request;
mod retry;
mod serve;
mod software_lane;
mod stream;
mod taken_up;
mod waiting;

pub use {
    answer::{AnswerBody, StreamCut},
    directory::{serve_directory, serve_metrics, serve_ready},
    listener::{serve_callers, serve_peers},
    refusal::Refusal,
};
