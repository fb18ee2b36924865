//! Decision logic and wire types of the mangowalk router.
//!
//! This crate performs no I/O: it opens no socket, reads no clock and starts
//! no thread. Functions that depend on time take the current time as an
//! argument, in milliseconds of a monotonic clock unless the name says
//! otherwise.

pub mod admission;
pub mod attempt;
pub mod brittle;
pub mod burn;
pub mod canary;
pub mod capacity;
pub mod claim;
pub mod config;
pub mod confirmation;
pub mod crash_part;
pub mod demand;
pub mod edge;
pub mod engine;
pub mod engine_limit;
pub mod engine_notice;
pub mod json;
pub mod kv_store;
pub mod limits;
pub mod membership;
pub mod mesh;
pub mod origin;
pub mod path;
pub mod peer;
pub mod placement;
pub mod platform;
pub mod poison;
pub mod pool;
pub mod record;
pub mod refusal;
pub mod retries;
pub mod rollout;
pub mod routing;
pub mod share;
pub mod shutdown;
pub mod status;
pub mod stream;
pub mod upstream;
pub mod weights;
