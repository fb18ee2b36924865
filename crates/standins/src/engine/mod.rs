//! A stand-in of a model engine: batches, a prefix cache with eviction,
//! weights that load, and crashes.
//!
//! `POST /generate`, `POST /cancel`, `GET /state`, `GET /load`,
//! `GET /events?from=SEQUENCE`, `POST /order`; `POST /faults` sets
//! [`EngineFaults`], `POST /crash` crashes and comes back empty.

mod answer;
mod attempt;
mod faults;
mod settings;
mod stand_in;

pub use {faults::EngineFaults, settings::EngineSettings, stand_in::EngineStandIn};
