/// How long the records held may be relied on.
///
/// An instance that hears neither from the platform nor from its peers can't
/// know that a key was withdrawn. Without a bound it would serve a withdrawn
/// key for as long as it lives. While the platform is down for everyone
/// nobody can withdraw anything, so hearing from peers is enough.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Freshness {
    /// When the records were last confirmed; none before the first time.
    pub confirmed_ms: Option<u64>,
    /// Time for which they may be used without a confirmation.
    pub limit_ms: u64,
}

impl Freshness {
    /// Default of `limit_ms`: long enough for the minutes for which regions
    /// lose each other, short enough to bound the use of a withdrawn key.
    pub const DEFAULT_LIMIT_MS: u64 = 15 * 60 * 1_000;

    /// Notes that the platform, or enough peers, answered.
    pub fn confirm(&mut self, now_ms: u64) {
        self.confirmed_ms = Some(self.confirmed_ms.map_or(now_ms, |t| t.max(now_ms)));
    }

    /// Returns whether the records may be used.
    pub fn is_usable(&self, now_ms: u64) -> bool {
        self.confirmed_ms
            .is_some_and(|t| now_ms.saturating_sub(t) < self.limit_ms)
    }

    /// Returns whether peers heard of lately confirm what is held.
    ///
    /// One peer is not enough: two instances that are cut off together would
    /// confirm each other for ever. At least half of those known do, which a
    /// small group that is cut off doesn't reach.
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
