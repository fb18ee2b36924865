use serde::{Deserialize, Serialize};

/// Faults injected into the platform, all off by default.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// Closes the connection of every call before the call takes effect.
    pub down: bool,
    /// Delay before each call is handled, in milliseconds.
    pub delay_ms: u64,
    /// Number of further writes that take effect but whose response is dropped.
    pub lose_replies: u32,
    /// Kind of objects to which `lose_replies` is limited; `None` means every
    /// kind.
    pub lose_replies_of: Option<String>,
    /// Drops the responses to reads of single objects.
    pub lose_reads: bool,
    /// Number of revisions by which lists and watches lag behind.
    pub lag_revisions: u64,
    /// Watches return no changes, and do so only after their `wait_ms`.
    pub mute_watches: bool,
}

impl PlatformFaults {
    /// Returns whether to drop the response to a write of this kind, and
    /// decrements `lose_replies` if so.
    pub(super) fn loses_reply(&mut self, kind: &str) -> bool {
        let is_other_kind = self.lose_replies_of.as_ref().is_some_and(|k| k != kind);
        if is_other_kind || self.lose_replies == 0 {
            return false;
        }
        self.lose_replies -= 1;
        true
    }
}
