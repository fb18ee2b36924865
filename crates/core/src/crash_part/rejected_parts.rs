use {
    super::CrashPartSettings,
    serde::{Deserialize, Serialize},
    std::collections::HashMap,
};

/// Maximum number of parts that are rejected or were lately.
const MAX_PARTS: usize = 256;

/// How many times its term a part is known: until then one instance alone tries it again.
const KNOWN_TERMS: u64 = 10;

/// Longest term that is taken over from a peer or the store.
const MAX_TOLD_TERM_MS: u64 = 24 * 60 * 60 * 1_000;

/// Whether a part is rejected, as instances tell each other and keep it in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectedPart {
    /// ID of the part.
    pub part: u64,
    /// Time since it was rejected, or found to be sound again, in milliseconds. Not a time,
    /// as the instances' clocks differ.
    pub age_ms: u64,
    /// Time for which it is rejected.
    pub term_ms: u64,
    /// Whether it is rejected; `false` for one that is sound again.
    pub is_rejected: bool,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    changed_ms: u64,
    term_ms: u64,
    is_rejected: bool,
    tried_ms: Option<u64>,
}

impl Entry {
    /// Returns when the entry is forgotten.
    fn expires_ms(&self) -> u64 {
        self.changed_ms + KNOWN_TERMS * self.term_ms
    }

    fn is_in_term(&self, now_ms: u64) -> bool {
        self.is_rejected && now_ms < self.changed_ms + self.term_ms
    }
}

/// Parts that crash engines, so that requests with them are rejected.
///
/// After its term a part is tried by one instance, once in a while. If that crashes an
/// engine, it is rejected for twice the time.
#[derive(Debug, Clone, Default)]
pub struct RejectedParts {
    entries: HashMap<u64, Entry>,
}

impl RejectedParts {
    /// Returns whether no part is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether a part is known to crash engines, also while it may be tried again.
    pub fn is_known(&self, part: u64) -> bool {
        let entry = self.entries.get(&part);
        entry.is_some_and(|entry| entry.is_rejected)
    }

    /// Returns whether requests with a part must not be sent to engines now. `may_try` tells
    /// whether this instance tries parts whose term has ended.
    pub fn rejects(
        &mut self,
        part: u64,
        may_try: bool,
        settings: &CrashPartSettings,
        now_ms: u64,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(&part) else {
            return false;
        };
        if !entry.is_rejected || now_ms >= entry.expires_ms() {
            return false;
        }
        if entry.is_in_term(now_ms) {
            return true;
        }
        let is_due = entry
            .tried_ms
            .is_none_or(|tried_ms| now_ms >= tried_ms + settings.trial_interval_ms);
        if may_try && is_due {
            entry.tried_ms = Some(now_ms);
            return false;
        }
        true
    }

    /// Returns whether requests with a part that are on their way are to be withdrawn.
    pub fn is_in_term(&self, part: u64, now_ms: u64) -> bool {
        let entry = self.entries.get(&part);
        entry.is_some_and(|entry| entry.is_in_term(now_ms))
    }

    /// Rejects a part, for longer than before if it has crashed an engine in a trial.
    pub fn reject(&mut self, part: u64, settings: &CrashPartSettings, now_ms: u64) {
        let before = self.entries.get(&part).filter(|entry| entry.is_rejected);
        let term_ms = before.map_or(settings.term_ms, |entry| {
            (2 * entry.term_ms).min(settings.max_term_ms)
        });
        self.entries.insert(
            part,
            Entry {
                changed_ms: now_ms,
                term_ms,
                is_rejected: true,
                tried_ms: None,
            },
        );
        self.remove_expired(now_ms);
    }

    /// Records that an answer on a part was completed. Returns whether the part was
    /// rejected until then.
    pub fn accept(&mut self, part: u64, now_ms: u64) -> bool {
        let entry = self.entries.get_mut(&part);
        let Some(entry) = entry.filter(|entry| entry.is_rejected) else {
            return false;
        };
        entry.is_rejected = false;
        entry.changed_ms = now_ms;
        true
    }

    /// Applies what a peer tells or the store holds. Returns the parts that are now rejected
    /// and weren't before.
    pub fn merge(&mut self, told: &[RejectedPart], now_ms: u64) -> Vec<u64> {
        let mut rejected = Vec::new();
        let current = told.iter().filter(|told| {
            told.term_ms <= MAX_TOLD_TERM_MS && told.age_ms < KNOWN_TERMS * told.term_ms
        });
        for told in current {
            let changed_ms = now_ms.saturating_sub(told.age_ms);
            let known = self.entries.get(&told.part);
            if known.is_some_and(|known| known.changed_ms >= changed_ms) {
                continue;
            }
            if told.is_rejected && !known.is_some_and(|known| known.is_rejected) {
                rejected.push(told.part);
            }
            self.entries.insert(
                told.part,
                Entry {
                    changed_ms,
                    term_ms: told.term_ms,
                    is_rejected: told.is_rejected,
                    tried_ms: known.and_then(|known| known.tried_ms),
                },
            );
        }
        self.remove_expired(now_ms);
        rejected
    }

    /// Returns all known parts, to be told to a peer or kept in the store.
    pub fn reports(&self, now_ms: u64) -> Vec<RejectedPart> {
        let known = self.entries.iter();
        let known = known.filter(|(_, entry)| now_ms < entry.expires_ms());
        let mut reports: Vec<RejectedPart> = known
            .map(|(part, entry)| RejectedPart {
                part: *part,
                age_ms: now_ms.saturating_sub(entry.changed_ms),
                term_ms: entry.term_ms,
                is_rejected: entry.is_rejected,
            })
            .collect();
        reports.sort_unstable_by_key(|report| report.part);
        reports
    }

    /// Returns the report on one part, if it is known.
    pub fn report(&self, part: u64, now_ms: u64) -> Option<RejectedPart> {
        let mut reports = self.reports(now_ms).into_iter();
        reports.find(|report| report.part == part)
    }

    fn remove_expired(&mut self, now_ms: u64) {
        self.entries.retain(|_, entry| now_ms < entry.expires_ms());
        while self.entries.len() > MAX_PARTS {
            let oldest = self
                .entries
                .iter()
                .min_by_key(|(_, entry)| entry.changed_ms);
            let Some(part) = oldest.map(|(part, _)| *part) else {
                return;
            };
            self.entries.remove(&part);
        }
    }
}
