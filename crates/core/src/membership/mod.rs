//! Membership of the fleet, the life cycle of an instance, leases, and the
//! instances that callers are directed to.
//!
//! The expected load is hundreds of instances. Some of them die, freeze,
//! restart at the same time or are cut off, and each may use 4 KB a second for
//! control traffic. Each instance starts one exchange with a random peer in
//! each period. An exchange carries a bounded number of membership updates,
//! changes first, so the cost of a node does not grow with the fleet, and a
//! failure reaches all instances after a number of periods that grows with the
//! logarithm of the fleet's size.

mod addresses;
mod instance;
mod lease;
mod member;
mod members;

pub use {
    addresses::{AnswerTtlSettings, MAX_ADDRESSES, addresses_for_caller, answer_ttl_ms},
    instance::{Draining, Instance, Ready, Starting, StartingFacts, Stopped},
    lease::{ControllerLease, ControllerLeaseHeld, ControllerLeaseSettings, Watching},
    member::Member,
    members::{MemberSettings, Members},
};
