//! The way of one request: limit, place, attempt, answer.

mod admit;
mod answer;
mod attempt;
mod attempts;
mod claim;
mod generate;
mod observe;
mod place;
mod poison;
mod request;
mod reserve;
mod router;
mod service;

pub(crate) use {
    attempts::spread_ms,
    place::{cache_salt, version_of},
};

pub use {
    answer::{AnswerSink, Finished},
    request::{ChatRequest, ServiceRequest},
    router::Router,
};
