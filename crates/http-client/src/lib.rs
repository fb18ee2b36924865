//! Blocking HTTP client of the threaded programs, on the connections of the gateway.
//!
//! A call opens a connection of its own, is sent once, follows no redirect, and is answered
//! only by a complete and valid head. The end of a body is told from its breaking off wherever the
//! answer declares a length or comes in chunks. One that ends with its connection also counts as
//! broken off if the server hadn't received the whole request by then.

mod answer;
mod answer_body;
mod call;
mod event_loop;
mod fetch;
mod open_connection;
mod send;

pub use {
    answer::HttpAnswer,
    answer_body::AnswerBody,
    call::HttpCall,
    fetch::{FetchedAnswer, fetch},
    send::send,
};
