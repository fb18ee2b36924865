//! Records: what operators write to the platform to drive the system.
//!
//! Each record is one JSON object with a `schema` number. A reader that meets
//! a newer schema keeps the last record that it could read.

mod check;
mod drain;
mod key;
mod kind;
mod model;
mod rate;
mod team;
mod upstream;

pub use {
    check::{RecordError, parse},
    drain::Drain,
    key::{Key, digest_of},
    kind::Kind,
    model::Model,
    rate::Rate,
    team::Team,
    upstream::{Upstream, UpstreamRole},
};

/// The newest schema number that this build reads and writes.
pub const SCHEMA: u32 = 1;

/// A record of any kind, parsed and checked.
#[derive(Debug, Clone, PartialEq)]
pub enum Record {
    /// A team of callers.
    Team(Team),
    /// A key that authenticates a team.
    Key(Key),
    /// A team's rate and burst.
    Rate(Rate),
    /// A model and the weights version offered to callers.
    Model(Model),
    /// A serving engine or a plain service.
    Upstream(Upstream),
    /// An engine that gets no new work while its weights change.
    Drain(Drain),
}
