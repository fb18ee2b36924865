use std::collections::VecDeque;

/// Maximum number of versions remembered per model. Operators may publish
/// several before the first is loaded on every engine.
const MAX_VERSIONS: usize = 16;

/// When a version was published.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PublishedAt {
    /// This many milliseconds ago, as observed by this instance or a peer.
    Ago(u64),
    /// At an unobserved time: before this instance followed the store, or
    /// during a gap in the store's answers.
    Unknown,
}

/// Maximum time since the store's last answer, in milliseconds, up to which a
/// version that is new in a read counts as published at the time of that answer.
/// After a longer gap its publication time is unknown.
const MAX_GAP_MS: u64 = 1_000;

impl PublishedAt {
    /// Returns the publication time of a version that first appears in a read
    /// of the store `gap_ms` after the store's last answer; `None` means that
    /// there was no earlier answer.
    ///
    /// After a long gap the time is unknown: an instance that was frozen or
    /// partitioned would otherwise treat a version published meanwhile as new
    /// and use old weights past their deadline. A peer that observed the
    /// publication reports its age.
    pub fn after_gap(gap_ms: Option<u64>) -> PublishedAt {
        match gap_ms.filter(|gap_ms| *gap_ms <= MAX_GAP_MS) {
            Some(gap_ms) => PublishedAt::Ago(gap_ms),
            None => PublishedAt::Unknown,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Publication {
    version: u64,
    published_ms: u64,
    /// Whether the publication was observed; otherwise `published_ms` is an
    /// assumption.
    is_age_known: bool,
}

/// Publication times of the versions of one model's weights.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WeightsHistory {
    /// Sorted by version, in ascending order.
    history: VecDeque<Publication>,
}

/// Versions of a model's weights that a request may be served with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct VersionBounds {
    /// Newest published version; 0 if none was published.
    pub newest: u64,
    /// Oldest version whose answers have their full value.
    pub min_preferred: u64,
    /// Oldest version on which a request may still be sent to an engine.
    pub min_allowed: u64,
}

/// How long older weights may be used after a newer version was published.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WeightsSettings {
    /// Age of a version, in milliseconds, from which answers by older ones
    /// lose value.
    pub penalty_after_ms: u64,
    /// Age of a version, in milliseconds, from which no request is sent to
    /// older ones. Less than `start_until_ms`, since a request may wait in the
    /// engine's queue before it starts.
    pub dispatch_until_ms: u64,
    /// Age of a version, in milliseconds, from which no request may start on
    /// older ones; a request that is still queued is withdrawn.
    pub start_until_ms: u64,
    /// Maximum time, in milliseconds, for which older weights may be used after
    /// a version of unknown age is read. If all instances lose power after a
    /// publication, none knows its age, and it may be long ago.
    pub unknown_age_grace_ms: u64,
}

impl WeightsHistory {
    /// Records that a version was published. A known version only gets a better
    /// publication time. Returns whether the version is the newest.
    pub fn insert(
        &mut self,
        version: u64,
        at: PublishedAt,
        settings: &WeightsSettings,
        now_ms: u64,
    ) -> bool {
        let (published_ms, is_age_known) = match at {
            PublishedAt::Ago(age_ms) => (now_ms.saturating_sub(age_ms), true),
            PublishedAt::Unknown => {
                let age_ms = settings
                    .start_until_ms
                    .saturating_sub(settings.unknown_age_grace_ms);
                (now_ms.saturating_sub(age_ms), false)
            }
        };
        let mut history = self.history.iter_mut();
        if let Some(existing) = history.find(|publication| publication.version == version) {
            existing.merge(published_ms, is_age_known);
            return false;
        }
        let is_newest = version > self.newest();
        let index = self
            .history
            .partition_point(|publication| publication.version < version);
        let publication = Publication {
            version,
            published_ms,
            is_age_known,
        };
        self.history.insert(index, publication);
        if self.history.len() > MAX_VERSIONS {
            self.history.pop_front();
        }
        is_newest
    }

    /// Returns the newest version, or 0 if none was published.
    pub fn newest(&self) -> u64 {
        self.history
            .back()
            .map_or(0, |publication| publication.version)
    }

    /// Returns the versions that peers need to compute the deadlines of older
    /// ones, with their publication times.
    ///
    /// The newest version alone is not enough. An instance that starts after
    /// two publications would count the deadline of the weights before them
    /// from the second one, and send requests to those weights past their
    /// deadline.
    pub fn publications(
        &self,
        settings: &WeightsSettings,
        now_ms: u64,
    ) -> impl Iterator<Item = (u64, PublishedAt)> {
        // The newest version whose `start_until_ms` has passed already rules
        // out everything before it.
        let is_expired = |publication: &Publication| {
            now_ms >= publication.published_ms + settings.start_until_ms
        };
        let first = self.history.iter().rposition(is_expired).unwrap_or(0);
        self.history.iter().skip(first).map(move |publication| {
            let at = match publication.is_age_known {
                true => PublishedAt::Ago(now_ms.saturating_sub(publication.published_ms)),
                false => PublishedAt::Unknown,
            };
            (publication.version, at)
        })
    }

    /// Returns the time from which no request may start on a version, in
    /// milliseconds; `None` if no newer version was published.
    pub fn start_deadline_ms(&self, version: u64, settings: &WeightsSettings) -> Option<u64> {
        let mut newer = self
            .history
            .iter()
            .filter(|publication| publication.version > version);
        newer
            .next()
            .map(|publication| publication.published_ms + settings.start_until_ms)
    }

    /// Returns the versions that a request may be served with now.
    pub fn version_bounds(&self, settings: &WeightsSettings, now_ms: u64) -> VersionBounds {
        let older_than = |age_ms: u64| {
            let publication = self.history.iter().rev();
            let mut old =
                publication.filter(|publication| now_ms >= publication.published_ms + age_ms);
            old.next().map_or(0, |publication| publication.version)
        };
        VersionBounds {
            newest: self.newest(),
            min_preferred: older_than(settings.penalty_after_ms),
            min_allowed: older_than(settings.dispatch_until_ms),
        }
    }
}

impl Publication {
    /// Updates the publication time: the earliest observed time wins, and an
    /// observed time replaces an assumed one.
    fn merge(&mut self, published_ms: u64, is_age_known: bool) {
        match (self.is_age_known, is_age_known) {
            (true, true) => self.published_ms = self.published_ms.min(published_ms),
            (false, true) => {
                self.published_ms = published_ms;
                self.is_age_known = true;
            }
            (_, false) => {}
        }
    }
}
