//! A stand-in for a model engine: slots, a prefix cache with eviction, loads
//! of weights, and crashes.
//!
//! `POST /generate`, `POST /cancel`, `GET /state`, `GET /load`,
//! `GET /events?from=SEQUENCE`, `POST /order`; `POST /faults` sets
//! [`EngineFaults`], `POST /crash` crashes the engine and restarts it with an
//! empty cache.

mod answer;
mod attempt;
mod faults;
mod settings;
mod stand_in;

pub use {faults::EngineFaults, settings::EngineSettings, stand_in::EngineStandIn};
