use serde::{Deserialize, Serialize};

/// How the platform fails.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// Every call is cut off before it takes effect.
    pub down: bool,
    /// Each call waits this long first.
    pub delay_ms: u64,
    /// Replies to this many writes are lost after they took effect.
    pub lose_replies: u32,
    /// Only replies to writes of this kind are lost; of every kind if none is
    /// given.
    pub lose_replies_of: Option<String>,
    /// Reads of single objects get no answer.
    pub lose_reads: bool,
    /// Lists and watches show the state of this many revisions ago.
    pub lag_revisions: u64,
    /// Watches stay silent.
    pub mute_watches: bool,
}

impl PlatformFaults {
    /// Returns whether the reply to a write of a kind is lost, and counts it.
    pub(super) fn loses_reply(&mut self, kind: &str) -> bool {
        let is_other_kind = self.lose_replies_of.as_ref().is_some_and(|k| k != kind);
        if is_other_kind || self.lose_replies == 0 {
            return false;
        }
        self.lose_replies -= 1;
        true
    }
}
