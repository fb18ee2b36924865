use {
    super::{ConfirmationReport, ConfirmationSettings, FollowedKind, KnownState},
    std::collections::{HashMap, VecDeque},
};

/// Maximum number of reports kept that tell of something unknown here. What they tell follows
/// by other messages, mostly within two reports.
const MAX_PENDING: usize = 8;

/// What is known of one kind.
#[derive(Debug, Clone, Copy, Default)]
struct Kind {
    /// Revision of the store up to which its changes are known.
    revision: u64,
    /// Latest time at which its current state is known to have been known.
    confirmed_ms: Option<u64>,
}

/// A report whose author knew more than this instance did.
#[derive(Debug)]
struct PendingReport {
    state: KnownState,
    confirmed_ms: Vec<(FollowedKind, u64)>,
}

/// When this instance is last known to have had the store's current state, by kind.
#[derive(Debug, Default)]
pub struct Confirmations {
    kinds: [Kind; FollowedKind::ALL.len()],
    /// Whether changes of all engines are followed, and not of a part of the list.
    knows_all_engines: bool,
    pending: VecDeque<PendingReport>,
    /// Incarnation and sequence number of the last report of each author.
    last_reports: HashMap<String, (u64, u64)>,
}

impl Confirmations {
    /// Records whether changes of all engines are followed. If not, this instance can't
    /// confirm to peers that none has left.
    pub fn set_knows_all_engines(&mut self, knows_all: bool) {
        self.knows_all_engines = knows_all;
    }

    /// Records that all changes of a kind up to a revision of the store are known.
    pub fn record_revision(&mut self, kind: FollowedKind, revision: u64) {
        let known = &mut self.kinds[kind as usize];
        known.revision = known.revision.max(revision);
    }

    /// Records that `revision` was the store's current one at `as_of_ms`. The store counts
    /// the changes of all kinds together, so this confirms each kind that is known up to it.
    pub fn record_current(&mut self, revision: u64, as_of_ms: u64) {
        for kind in FollowedKind::ALL {
            if self.kinds[kind as usize].revision >= revision {
                self.confirm(kind, as_of_ms);
            }
        }
    }

    /// Takes a report of a peer's present start, unless a newer one of that start was taken.
    /// One that was relayed late would seem younger than it is.
    pub fn receive(&mut self, report: &ConfirmationReport, own: &KnownState, now_ms: u64) {
        let number = (report.incarnation, report.sequence);
        match self.last_reports.get_mut(&report.author) {
            Some((incarnation, sequence))
                if *incarnation == report.incarnation && *sequence >= report.sequence =>
            {
                return;
            }
            Some(last) => *last = number,
            None => {
                self.last_reports.insert(report.author.clone(), number);
            }
        }
        let ages = report.ages.iter();
        let confirmed_ms =
            ages.map(|&(kind, age_ms)| (kind, now_ms.saturating_sub(u64::from(age_ms))));
        if self.pending.len() == MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back(PendingReport {
            state: report.state.clone(),
            confirmed_ms: confirmed_ms.collect(),
        });
        self.apply_pending(own);
    }

    /// Applies the reports of peers as far as this instance knows by now what they knew.
    pub fn apply_pending(&mut self, own: &KnownState) {
        for mut report in std::mem::take(&mut self.pending) {
            report.confirmed_ms.retain(|&(kind, as_of_ms)| {
                let is_covered = own.covers(kind, &report.state);
                if is_covered {
                    self.confirm(kind, as_of_ms);
                }
                !is_covered && self.kinds[kind as usize].confirmed_ms < Some(as_of_ms)
            });
            if !report.confirmed_ms.is_empty() {
                self.pending.push_back(report);
            }
        }
    }

    /// Forgets the reports of a peer that is gone.
    pub fn forget_author(&mut self, author: &str) {
        self.last_reports.remove(author);
    }

    /// Returns the kinds that this instance can confirm to peers, and how long ago it had
    /// their current state.
    pub fn ages(&self, now_ms: u64) -> Vec<(FollowedKind, u32)> {
        let kinds = FollowedKind::ALL.into_iter();
        let kinds = kinds.filter(|kind| self.knows_all_engines || *kind != FollowedKind::Engines);
        let ages = kinds.filter_map(|kind| Some((kind, self.age_ms(kind, now_ms)? as u32)));
        ages.collect()
    }

    /// Returns how long ago this instance is known to have had the current state of a kind;
    /// `None` if it never has.
    pub fn age_ms(&self, kind: FollowedKind, now_ms: u64) -> Option<u64> {
        let confirmed_ms = self.kinds[kind as usize].confirmed_ms?;
        Some(now_ms.saturating_sub(confirmed_ms))
    }

    /// Returns when this instance has to read the current state of a kind itself, unless it is
    /// confirmed before: `settled_ms`, from which on it knows who reads for all, at the
    /// earliest. `place` is that of the instance among all, from 0 to 1: the first ones read
    /// sooner and confirm to the others what these know.
    pub fn unconfirmed_at_ms(
        &self,
        kind: FollowedKind,
        settings: &ConfirmationSettings,
        settled_ms: u64,
        place: f64,
    ) -> u64 {
        let bound = settings.bound(kind);
        let confirmed_ms = self.kinds[kind as usize].confirmed_ms.unwrap_or(0);
        let delay_ms = (bound.spread_ms as f64 * place.clamp(0.0, 1.0)) as u64;
        settled_ms.max(confirmed_ms + bound.max_age_ms) + delay_ms
    }

    fn confirm(&mut self, kind: FollowedKind, as_of_ms: u64) {
        let known = &mut self.kinds[kind as usize];
        known.confirmed_ms = known.confirmed_ms.max(Some(as_of_ms));
    }
}
