use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// The kinds of record that operators write.
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
    /// A team's rate and burst.
    #[display("rate")]
    Rate,
    /// A model and its offered weights version.
    #[display("model")]
    Model,
    /// A serving engine or a plain service.
    #[display("upstream")]
    Upstream,
    /// A mark of the system's own: an engine that gets no new work while its
    /// weights change.
    #[display("drain")]
    #[serde(skip)]
    Drain,
}

impl Kind {
    /// Every kind that operators write, in the order in which a new fleet needs them.
    pub const WRITTEN_BY_OPERATORS: [Kind; 5] = [
        Kind::Team,
        Kind::Rate,
        Kind::Key,
        Kind::Model,
        Kind::Upstream,
    ];

    /// Every kind that instances hold: what operators write, and the marks
    /// that the system writes for all its instances.
    pub const HELD_BY_INSTANCES: [Kind; 6] = [
        Kind::Team,
        Kind::Rate,
        Kind::Key,
        Kind::Model,
        Kind::Upstream,
        Kind::Drain,
    ];

    /// Returns the kind with the name that the platform's paths use.
    pub fn from_name(name: &str) -> Option<Kind> {
        Kind::HELD_BY_INSTANCES
            .into_iter()
            .find(|k| k.to_string() == name)
    }
}
