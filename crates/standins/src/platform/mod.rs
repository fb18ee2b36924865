//! A stand-in for the platform's object API.
//!
//! `GET|PUT|DELETE /objects/KIND/NAME` (`?absent=1` or `?version=N` for the
//! condition), `GET /list?kinds=A,B`, `GET /watch?kinds=A,B&after=REVISION&wait_ms=N`.
//! A write returns `{"version": N}`; if its condition does not hold, it
//! returns 409 with the current version. `POST /faults` sets
//! [`PlatformFaults`], and `/calls` returns the number of calls by operation.

mod faults;
mod stand_in;
mod state;

pub use {faults::PlatformFaults, stand_in::PlatformStandIn};
