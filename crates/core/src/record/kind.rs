use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// Kinds of record.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A team of callers.
    #[display("team")]
    Team,
    /// A key that authenticates a team.
    #[display("key")]
    Key,
    /// Rate and burst of a team.
    #[display("rate")]
    Rate,
    /// A model and the weights version offered to callers.
    #[display("model")]
    Model,
    /// A serving engine or a plain service.
    #[display("upstream")]
    Upstream,
    /// An engine that gets no new work while its weights change. Written by the
    /// system, not by operators.
    #[display("drain")]
    #[serde(skip)]
    Drain,
}

impl Kind {
    /// All kinds that operators write, in the order in which a new fleet needs
    /// them.
    pub const WRITTEN_BY_OPERATORS: [Kind; 5] = [
        Kind::Team,
        Kind::Rate,
        Kind::Key,
        Kind::Model,
        Kind::Upstream,
    ];

    /// All kinds that instances hold: those that operators write, and the drain
    /// marks that the system writes for all of its instances.
    pub const HELD_BY_INSTANCES: [Kind; 6] = [
        Kind::Team,
        Kind::Rate,
        Kind::Key,
        Kind::Model,
        Kind::Upstream,
        Kind::Drain,
    ];

    /// Returns the kind with the given name, as used in the platform's paths.
    pub fn from_name(name: &str) -> Option<Kind> {
        Kind::HELD_BY_INSTANCES
            .into_iter()
            .find(|k| k.to_string() == name)
    }
}
