//! The way of a caller's request.

mod answer;
mod attempt;
mod directory;
mod events;
mod listener;
mod refusal;
mod request;
mod serve;
mod work;

pub use {
    answer::{AnswerBody, StreamCut},
    directory::{serve_directory, serve_metrics, serve_ready},
    listener::serve_callers,
    refusal::Refusal,
};
