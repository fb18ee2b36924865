/// Limits the time for which records are used without confirmation.
///
/// An instance that reaches neither the platform nor its peers cannot know that
/// a key was withdrawn. Without a limit it would accept a withdrawn key for as
/// long as it runs. While the platform is down for all instances, nobody can
/// withdraw anything, so a confirmation by peers is enough.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Freshness {
    /// When the records were last confirmed; `None` before the first time.
    pub confirmed_ms: Option<u64>,
    /// Time for which records may be used after a confirmation.
    pub limit_ms: u64,
}

impl Freshness {
    /// Default of `limit_ms`. It is longer than the minutes for which regions
    /// lose contact, and short enough to bound the use of a withdrawn key.
    pub const DEFAULT_LIMIT_MS: u64 = 15 * 60 * 1_000;

    /// Records a confirmation by the platform or by enough peers.
    pub fn confirm(&mut self, now_ms: u64) {
        self.confirmed_ms = Some(self.confirmed_ms.map_or(now_ms, |t| t.max(now_ms)));
    }

    /// Returns whether records may be used.
    pub fn is_usable(&self, now_ms: u64) -> bool {
        self.confirmed_ms
            .is_some_and(|t| now_ms.saturating_sub(t) < self.limit_ms)
    }

    /// Returns whether enough of the known peers answered to confirm the
    /// records.
    ///
    /// One peer is not enough: two instances that are cut off together would
    /// confirm each other forever. At least half of the known peers have to
    /// answer, which a small group that is cut off does not reach.
    pub fn peers_confirm(answered: usize, known: usize) -> bool {
        answered > 0 && answered * 2 >= known
    }
}

impl Default for Freshness {
    fn default() -> Freshness {
        Freshness {
            confirmed_ms: None,
            limit_ms: Freshness::DEFAULT_LIMIT_MS,
        }
    }
}
