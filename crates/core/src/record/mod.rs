//! Records: objects on the platform with which operators control the system.
//!
//! Each record is a JSON object with a `schema` number. A reader that finds a
//! newer schema than it knows keeps the last version that it could read.

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

/// Newest schema number that this build reads and writes.
pub const SCHEMA: u32 = 1;

/// A parsed and validated record of any kind.
#[derive(Debug, Clone, PartialEq)]
pub enum Record {
    /// A team of callers.
    Team(Team),
    /// An API key that authenticates a team.
    Key(Key),
    /// Rate and burst of a team.
    Rate(Rate),
    /// A model and the weights version offered to callers.
    Model(Model),
    /// A serving engine or a plain service.
    Upstream(Upstream),
    /// An engine that gets no new work while its weights change.
    Drain(Drain),
}
