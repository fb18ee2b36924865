use {
    super::{FollowedKind, KnownState},
    serde::{Deserialize, Serialize},
};

/// What an instance tells its peers after the store has answered it with current state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmationReport {
    /// Name of the instance.
    pub author: String,
    /// Identifies one start of the instance; it grows with each start.
    pub incarnation: u64,
    /// Grows with each report of one start.
    pub sequence: u64,
    /// What the instance knows.
    pub state: KnownState,
    /// Kinds of which it knew the current state, and how long before the report that was, in
    /// milliseconds.
    pub ages: Vec<(FollowedKind, u32)>,
}
