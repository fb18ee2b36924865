/// How long and for how many engines notices hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoticeSettings {
    /// Time after an answer for which the rest that it asked for also holds for another start
    /// of the engine: the engine may have started again before it answered, and the list tells
    /// later.
    pub restart_lag_ms: u64,
    /// Time after its notice for which an engine that leaves may still get the requests that no
    /// other engine can take. It serves them, and is gone some time later.
    pub last_use_ms: u64,
    /// Notices of engines that the list lacks which are kept, as their entries may come back.
    pub max_unlisted: usize,
}

impl Default for NoticeSettings {
    fn default() -> NoticeSettings {
        NoticeSettings {
            restart_lag_ms: 10_000,
            last_use_ms: 1_000,
            max_unlisted: 1_024,
        }
    }
}
