use crate::peer::InstanceView;

/// Another instance and its last known state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The newest state that was received of the instance.
    pub view: InstanceView,
    /// When the instance last answered, or was last reported without a
    /// suspicion.
    pub last_alive_ms: u64,
    /// When the instance was first suspected; `None` while it is not.
    pub suspected_ms: Option<u64>,
    /// Number of messages that still have to carry the last change of the
    /// instance.
    pub(super) transmissions_left: u32,
}

impl Member {
    /// Returns whether the instance is neither suspected nor departing, so that
    /// callers and controllers can use it.
    pub fn is_live(&self) -> bool {
        !self.view.suspected && !self.view.departing
    }
}

/// Returns the sort key by which reports of an instance are ordered; a higher
/// one is newer. In descending order of weight: a later start, a later
/// heartbeat of the instance itself, its departure, a suspicion.
pub(super) fn precedence(view: &InstanceView) -> (u64, u64, bool, bool) {
    (
        view.incarnation,
        view.heartbeat,
        view.departing,
        view.suspected,
    )
}
