//! The way of a caller's request.

mod answer;
mod attempt;
mod directory;
mod end;
mod judge;
mod listener;
mod passing;
mod plan;
mod refusal;
mod request;
mod serve;
mod tries;
mod whole;
mod work;

pub use {
    answer::{AnswerBody, StreamCut},
    directory::{serve_directory, serve_metrics, serve_ready},
    listener::serve_callers,
    refusal::Refusal,
};
