//! Serving of requests: rate limit, admission, placement, attempts, response.

mod admit;
mod answer;
mod attempt;
mod attempts;
mod claim;
mod counted;
mod generate;
mod place;
mod poison;
mod request;
mod reserve;
mod router;
mod service;

pub(crate) use {
    attempts::jittered_ms,
    place::{cache_salt, version_of},
};

pub use {
    answer::{AnswerSink, FinishedAnswer},
    request::{ChatRequest, ServiceRequest},
    router::Router,
};
