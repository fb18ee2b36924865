//! The way of one request: limit, place, attempt, answer.

mod answer;
mod attempt;
mod attempts;
mod generate;
mod observe;
mod request;
mod router;
mod service;

pub use {
    answer::{AnswerSink, Finished},
    request::{ChatRequest, ServiceRequest},
    router::Router,
};
