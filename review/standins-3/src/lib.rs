//! Stand-ins for the platform's store, engines, machines and callers, without dependencies.
//!
//! The names of the wire are read from `names.txt`.

pub mod caller;
pub mod deployment;
pub mod engine;
pub mod gate;
pub mod http;
pub mod json;
pub mod machine;
pub mod names;
pub mod record;
pub mod store;
