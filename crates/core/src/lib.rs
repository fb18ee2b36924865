//! Decisions and wire types of the mangowalk router.
//!
//! Nothing in this crate opens a socket, reads a clock or starts a thread.
//! Each function that decides takes the present time as an argument, in
//! milliseconds of a monotonic clock unless its name says otherwise.

pub mod admission;
pub mod attempt;
pub mod burn;
pub mod claim;
pub mod config;
pub mod demand;
pub mod edge;
pub mod engine;
pub mod limits;
pub mod membership;
pub mod mesh;
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
pub mod status;
pub mod stream;
pub mod upstream;
pub mod weights;
