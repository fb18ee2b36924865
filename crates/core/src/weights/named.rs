use std::collections::VecDeque;

/// Versions remembered of one model. Operators may name several before the
/// first is in place everywhere.
const MOST: usize = 16;

/// When a version was named.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PublishedAt {
    /// So many milliseconds ago; this instance or a peer saw it.
    Ago(u64),
    /// Before this instance began to follow the store.
    Unknown,
}

/// Time without word from the store up to which a version that is then read
/// counts as named at its beginning.
const MOST_GAP_MS: u64 = 1_000;

impl PublishedAt {
    /// Returns when a version was named that a reading of the store shows for
    /// the first time, so long after the last word from the store.
    ///
    /// An instance that was frozen or cut off would take a version that was named
    /// meanwhile for a new one, and use old weights past their time. After a
    /// longer gap nothing is known; a peer that saw it tells better.
    pub fn after_gap(gap_ms: Option<u64>) -> PublishedAt {
        match gap_ms.filter(|gap_ms| *gap_ms <= MOST_GAP_MS) {
            Some(gap_ms) => PublishedAt::Ago(gap_ms),
            None => PublishedAt::Unknown,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Named {
    version: u64,
    named_ms: u64,
    is_known: bool,
}

/// When versions of one model's weights were named.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WeightsHistory {
    /// Rising by version.
    history: VecDeque<Named>,
}

/// What weights a request should meet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct VersionBounds {
    /// The newest that were named.
    pub newest: u64,
    /// Older ones make an answer worth less.
    pub min_preferred: u64,
    /// Older ones may not begin a request any more.
    pub min_allowed: u64,
}

/// Ages from which on older weights are worth less, and are out of bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WeightsSettings {
    /// Age of a version from which on answers by older ones are worth less.
    pub penalty_after_ms: u64,
    /// Age of a version from which on no request is sent to older ones. It may
    /// wait in an engine's queue before it begins.
    pub dispatch_until_ms: u64,
    /// Age of a version from which on no request may begin on older ones; one
    /// that still waits is withdrawn.
    pub start_until_ms: u64,
    /// Time for which older weights are used at most if it isn't known when a
    /// version was named. All instances may have lost power just after, so
    /// that nobody knows; it may have been long before.
    pub unknown_age_grace_ms: u64,
}

impl WeightsHistory {
    /// Notes that a version was named. Returns whether it is the newest.
    pub fn insert(
        &mut self,
        version: u64,
        at: PublishedAt,
        settings: &WeightsSettings,
        now_ms: u64,
    ) -> bool {
        let (named_ms, is_known) = match at {
            PublishedAt::Ago(age_ms) => (now_ms.saturating_sub(age_ms), true),
            PublishedAt::Unknown => {
                let age_ms = settings
                    .start_until_ms
                    .saturating_sub(settings.unknown_age_grace_ms);
                (now_ms.saturating_sub(age_ms), false)
            }
        };
        let mut history = self.history.iter_mut();
        if let Some(known) = history.find(|named| named.version == version) {
            known.learn(named_ms, is_known);
            return false;
        }
        let is_newest = version > self.newest();
        let place = self
            .history
            .partition_point(|named| named.version < version);
        let named = Named {
            version,
            named_ms,
            is_known,
        };
        self.history.insert(place, named);
        if self.history.len() > MOST {
            self.history.pop_front();
        }
        is_newest
    }

    /// Returns the newest version; 0 where none was named.
    pub fn newest(&self) -> u64 {
        self.history.back().map_or(0, |named| named.version)
    }

    /// Returns the versions that bound the use of older ones, and when they were
    /// named, for peers.
    ///
    /// The newest alone is not enough. An instance that starts after a second
    /// version was named would take the first weights for replaced when the
    /// second was named, and send requests to them long after their time.
    pub fn publications(
        &self,
        settings: &WeightsSettings,
        now_ms: u64,
    ) -> impl Iterator<Item = (u64, PublishedAt)> {
        // All before the last one that is past its time are out of use anyway.
        let is_past = |named: &Named| now_ms >= named.named_ms + settings.start_until_ms;
        let first = self.history.iter().rposition(is_past).unwrap_or(0);
        self.history.iter().skip(first).map(move |named| {
            let at = match named.is_known {
                true => PublishedAt::Ago(now_ms.saturating_sub(named.named_ms)),
                false => PublishedAt::Unknown,
            };
            (named.version, at)
        })
    }

    /// Returns when a request may no longer begin on a version, if newer ones
    /// were named.
    pub fn start_deadline_ms(&self, version: u64, settings: &WeightsSettings) -> Option<u64> {
        let mut newer = self.history.iter().filter(|named| named.version > version);
        newer
            .next()
            .map(|named| named.named_ms + settings.start_until_ms)
    }

    /// Returns what a request should meet now.
    pub fn version_bounds(&self, settings: &WeightsSettings, now_ms: u64) -> VersionBounds {
        let older_than = |age_ms: u64| {
            let named = self.history.iter().rev();
            let mut old = named.filter(|named| now_ms >= named.named_ms + age_ms);
            old.next().map_or(0, |named| named.version)
        };
        VersionBounds {
            newest: self.newest(),
            min_preferred: older_than(settings.penalty_after_ms),
            min_allowed: older_than(settings.dispatch_until_ms),
        }
    }
}

impl Named {
    /// Whoever heard of it first knows its age best; a guess knows less.
    fn learn(&mut self, named_ms: u64, is_known: bool) {
        match (self.is_known, is_known) {
            (true, true) => self.named_ms = self.named_ms.min(named_ms),
            (false, true) => {
                self.named_ms = named_ms;
                self.is_known = true;
            }
            (_, false) => {}
        }
    }
}
