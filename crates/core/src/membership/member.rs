use crate::peer::InstanceView;

/// Another instance as last heard of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// What is known of it.
    pub view: InstanceView,
    /// When it last answered, or was last said to be well.
    pub last_alive_ms: u64,
    /// When it was first suspected, unless it is well.
    pub suspected_ms: Option<u64>,
    /// Messages that still carry the last change of it.
    pub(super) transmissions_left: u32,
}

impl Member {
    /// Returns whether callers and controllers may count on it.
    pub fn is_live(&self) -> bool {
        !self.view.suspected && !self.view.departing
    }
}

/// Rank of what is said of an instance. What ranks higher is later: a new
/// start, then the instance's own word, then its leave, then a suspicion.
pub(super) fn precedence(view: &InstanceView) -> (u64, u64, bool, bool) {
    (
        view.incarnation,
        view.heartbeat,
        view.departing,
        view.suspected,
    )
}
