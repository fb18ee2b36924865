use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// A kind of objects in the store whose changes each instance follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum FollowedKind {
    /// The operators' configuration.
    #[display("configuration")]
    Configuration,
    /// The list of engines.
    #[display("engines")]
    Engines,
    /// The newest weights of each model.
    #[display("weights")]
    Weights,
}

impl FollowedKind {
    /// All kinds, in the order of their declaration.
    pub const ALL: [FollowedKind; 3] = [
        FollowedKind::Configuration,
        FollowedKind::Engines,
        FollowedKind::Weights,
    ];
}

/// What an instance knows of each kind, in a form in which instances can compare it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct KnownState {
    /// Version of the configuration in force.
    pub configuration_version: u64,
    /// Revision of the store up to which departures of engines are known.
    pub departures_revision: u64,
    /// Newest version of the weights of each model, by the model's name.
    pub weights: Vec<(String, u64)>,
}

impl KnownState {
    /// Returns whether nothing of a kind is missing here that `other` knows.
    pub fn covers(&self, kind: FollowedKind, other: &KnownState) -> bool {
        match kind {
            FollowedKind::Configuration => {
                self.configuration_version >= other.configuration_version
            }
            FollowedKind::Engines => self.departures_revision >= other.departures_revision,
            FollowedKind::Weights => other.weights.iter().all(|(model, version)| {
                let mut own = self.weights.iter();
                own.any(|(own_model, own_version)| own_model == model && own_version >= version)
            }),
        }
    }
}
