//! Instances: who is there, who leaves, and which of them callers use.
//!
//! Load pattern: hundreds of instances, some of which die, freeze, restart in
//! herds or are cut off, within 4 KB a second of control traffic each. Each
//! instance asks one other at random in each period. What is exchanged
//! besides is a bounded number of news, changes first, so that the cost of a
//! node does not grow with the fleet, and a death is known after a number of
//! periods that grows with the logarithm of its size.

mod addresses;
mod instance;
mod lease;
mod member;
mod members;

pub use {
    addresses::{AnswerTtlSettings, MAX_ADDRESSES, addresses_for_caller, answer_ttl_ms},
    instance::{Draining, Instance, Ready, Starting, StartingFacts, Stopped},
    lease::{Held, Lease, LeaseSettings, Watching},
    member::Member,
    members::{MemberSettings, Members},
};
