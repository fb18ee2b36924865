//! A stand-in of the platform's object API.
//!
//! `GET|PUT|DELETE /objects/KIND/NAME` (`?absent=1` or `?version=N` for the
//! condition), `GET /list?kinds=A,B`, `GET /watch?kinds=A,B&after=REVISION&wait_ms=N`.
//! A write answers `{"version": N}`; a condition that does not hold answers
//! 409 with the version held. `POST /faults` sets [`PlatformFaults`].

mod faults;
mod stand_in;
mod state;

pub use {faults::PlatformFaults, stand_in::PlatformStandIn};
