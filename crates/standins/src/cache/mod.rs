//! The prefix cache of an engine, shared by the stand-in and the queue model.

mod prefix;

pub(crate) use prefix::PrefixCache;
