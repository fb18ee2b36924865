//! Runs instances as real processes, as on the users' machines, against stand-ins
//! of the platform.

mod abandoned;
mod answers;
mod begun_versions;
mod brittle;
mod configuration;
mod crashing_parts;
mod endings;
mod engine_limits;
mod input;
mod kept;
mod lagging;
mod leaving;
mod leaving_told;
mod logs;
mod odd_entries;
mod out_of_step;
mod paces;
mod rates;
mod replaced;
mod rest;
mod retries;
mod rollouts;
mod settings;
mod sizes;
mod stopping;
mod unconfirmed;
mod unreachable;
mod versions;
mod waiting;
mod weights;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_mangowalkd");
