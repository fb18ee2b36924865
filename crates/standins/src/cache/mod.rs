//! The prefix cache of an engine, used by the engine stand-in and the queue
//! model.

mod prefix;

pub(crate) use prefix::PrefixCache;
