//! Heartbeats between instances.

mod confirmations;
mod exchange;
mod leaving;
mod limits;
mod loans;
mod origins;
mod paces;
mod parts;
mod paths;
mod readings;
mod replaced;
mod sending;
mod traffic;

pub use {
    confirmations::report_confirmations,
    exchange::exchange,
    leaving::report_leaving_engines,
    limits::report_limits,
    loans::{exchange_loans, take_retry},
    origins::{FoundOrigin, exchange_origins, find_origin, tell_origin},
    paces::report_engine_paces,
    parts::exchange_parts,
    replaced::report_replaced_engines,
    sending::{send_canary_to_all, send_canary_to_readers, send_to_domains},
    traffic::{Direction, MeshTraffic},
};
