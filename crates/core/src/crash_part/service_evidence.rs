use {
    super::{CrashPartSettings, EngineCrash},
    std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
};

/// Maximum number of crashes that are kept of a service.
const MAX_CRASHES: usize = 64;

/// Maximum number of different prompts that are kept of a crash.
const MAX_PROMPTS: usize = 128;

/// What an arbiter decides on a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartDecision {
    /// All instances are to tell of completed answers on it.
    Watch(u64),
    /// All instances are to reject it.
    Reject(u64),
}

#[derive(Debug, Clone)]
struct Crash {
    id: u64,
    at_ms: u64,
    prompts: BTreeSet<Vec<u64>>,
}

impl Crash {
    fn holds(&self, part: u64) -> bool {
        self.prompts.iter().any(|parts| parts.contains(&part))
    }
}

/// Maximum number of the instance's own answers that are kept.
const MAX_ANSWERS: usize = 64;

/// A completed answer of this instance.
#[derive(Debug, Clone)]
struct Answer {
    at_ms: u64,
    parts: Vec<u64>,
}

/// The crashes of a service's engines, and what speaks for and against the parts of the
/// prompts that were on them.
#[derive(Debug, Clone, Default)]
pub(super) struct ServiceEvidence {
    /// Sorted by time.
    crashes: VecDeque<Crash>,
    /// When an answer on a part was last completed, of parts in the crashes.
    completed_ms: BTreeMap<u64, u64>,
    /// Since when parts are watched.
    watched_ms: BTreeMap<u64, u64>,
    answers: VecDeque<Answer>,
    /// Crashes that speak against each part, of parts with enough to be watched. `None` if
    /// they have to be counted again.
    counts: Option<BTreeMap<u64, usize>>,
}

impl ServiceEvidence {
    pub(super) fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    pub(super) fn is_deciding(&self) -> bool {
        !self.watched_ms.is_empty()
    }

    /// Adds a crash, or what another instance knows of it.
    pub(super) fn record_crash(&mut self, crash: &EngineCrash, now_ms: u64) {
        self.counts = None;
        let index = self
            .crashes
            .iter()
            .position(|known| known.id == crash.crash);
        let index = index.unwrap_or_else(|| {
            let at_ms = now_ms.saturating_sub(crash.age_ms);
            let index = self.crashes.partition_point(|known| known.at_ms <= at_ms);
            let new = Crash {
                id: crash.crash,
                at_ms,
                prompts: BTreeSet::new(),
            };
            self.crashes.insert(index, new);
            index
        });
        let prompts = &mut self.crashes[index].prompts;
        let free = MAX_PROMPTS.saturating_sub(prompts.len());
        prompts.extend(crash.prompts.iter().take(free).cloned());
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.pop_front();
        }
    }

    /// Records that an answer on a part was completed, which clears it of earlier crashes.
    pub(super) fn record_completed(&mut self, part: u64, completed_ms: u64) {
        let known_ms = self.completed_ms.get(&part).copied();
        let is_news = known_ms.is_none_or(|known_ms| known_ms < completed_ms);
        let mut cleared = self.crashes.iter().filter(|crash| crash.holds(part));
        if is_news && cleared.any(|crash| crash.at_ms <= completed_ms) {
            self.completed_ms.insert(part, completed_ms);
            self.watched_ms.remove(&part);
            self.counts = None;
        }
    }

    /// Records a completed answer of this instance.
    pub(super) fn record_answer(&mut self, parts: &[u64], now_ms: u64) {
        for part in parts {
            self.record_completed(*part, now_ms);
        }
        self.answers.push_back(Answer {
            at_ms: now_ms,
            parts: parts.to_vec(),
        });
        if self.answers.len() > MAX_ANSWERS {
            self.answers.pop_front();
        }
    }

    /// Returns what is to be done about the parts. `is_known` tells whether a part is known
    /// to crash engines; a crash with such a part needs no other reason.
    pub(super) fn decide(
        &mut self,
        is_known: impl Fn(u64) -> bool,
        settings: &CrashPartSettings,
        now_ms: u64,
    ) -> Vec<PartDecision> {
        self.expire(settings, now_ms);
        let counts = self
            .counts
            .take()
            .unwrap_or_else(|| self.count_all(settings));
        self.watched_ms.retain(|part, _| counts.contains_key(part));
        let unknown = counts.iter().filter(|(part, _)| !is_known(**part));
        let unknown: Vec<(u64, usize)> = unknown.map(|(part, count)| (*part, *count)).collect();
        self.counts = Some(counts);
        let mut decisions = Vec::new();
        for (part, count) in &unknown {
            if self.needs_watch(*part, *count, settings, now_ms) {
                self.watched_ms.insert(*part, now_ms);
                decisions.push(PartDecision::Watch(*part));
            }
        }
        let suspects = unknown.iter().filter(|(part, count)| {
            *count >= self.needed_crashes(*part, settings)
                && self.is_watched_enough(*part, settings, now_ms)
                && self.other_answers(*part) >= settings.min_other_answers
                && self.has_unexplained(*part, &is_known)
        });
        // Of parts that were on the same crashed engines the one that fewest share.
        let worst = suspects.max_by_key(|(part, count)| (*count, self.depth(*part)));
        if let Some((part, _)) = worst.copied() {
            self.watched_ms.remove(&part);
            decisions.push(PartDecision::Reject(part));
        }
        decisions
    }

    fn expire(&mut self, settings: &CrashPartSettings, now_ms: u64) {
        let before = self.crashes.len();
        self.crashes
            .retain(|crash| now_ms < crash.at_ms + settings.retention_ms);
        if self.crashes.len() == before {
            return;
        }
        self.counts = None;
        let crashes = &self.crashes;
        self.completed_ms
            .retain(|part, _| crashes.iter().any(|crash| crash.holds(*part)));
    }

    /// Counts the crashes that speak against each part, of parts with enough to be watched.
    fn count_all(&self, settings: &CrashPartSettings) -> BTreeMap<u64, usize> {
        let mut times_by_part: HashMap<u64, Vec<u64>> = HashMap::new();
        for crash in &self.crashes {
            let parts: BTreeSet<u64> = crash.prompts.iter().flatten().copied().collect();
            for part in parts {
                times_by_part.entry(part).or_default().push(crash.at_ms);
            }
        }
        let counts = times_by_part.iter().map(|(part, times_ms)| {
            let count = self.count(*part, times_ms, settings);
            (*part, count)
        });
        counts
            .filter(|(_, count)| *count >= settings.watched_crashes)
            .collect()
    }

    /// Returns how many crashes speak against a part that was on engines which ended at some
    /// times: those since its last completed answer, with engines that ended together
    /// counted once, and not at all if most of these didn't run it.
    fn count(&self, part: u64, times_ms: &[u64], settings: &CrashPartSettings) -> usize {
        let completed_ms = self.completed_ms.get(&part).copied();
        let mut last_ms = None;
        let mut count = 0;
        for &at_ms in times_ms {
            let is_cleared = completed_ms.is_some_and(|completed_ms| at_ms <= completed_ms);
            let is_same = last_ms.is_some_and(|last_ms| at_ms < last_ms + settings.same_cause_ms);
            if is_cleared || is_same || !self.is_plausible(times_ms, at_ms, settings) {
                continue;
            }
            last_ms = Some(at_ms);
            count += 1;
        }
        count
    }

    /// Returns whether at least half of the engines that ended at about a time ran a part.
    /// `times_ms` are the ends of those that did.
    fn is_plausible(&self, times_ms: &[u64], at_ms: u64, settings: &CrashPartSettings) -> bool {
        let is_near = |other_ms: u64| other_ms.abs_diff(at_ms) < settings.same_cause_ms;
        let with = times_ms
            .iter()
            .filter(|other_ms| is_near(**other_ms))
            .count();
        let all = self.crashes.iter().filter(|crash| is_near(crash.at_ms));
        2 * with >= all.count()
    }

    /// Returns whether the instances have to be asked for completed answers on a part: for
    /// the first time, or again as they no longer watch it and a decision may be due.
    fn needs_watch(
        &self,
        part: u64,
        count: usize,
        settings: &CrashPartSettings,
        now_ms: u64,
    ) -> bool {
        let Some(&since_ms) = self.watched_ms.get(&part) else {
            return true;
        };
        now_ms >= since_ms + settings.watch_ms && count >= settings.rejected_crashes
    }

    fn is_watched_enough(&self, part: u64, settings: &CrashPartSettings, now_ms: u64) -> bool {
        let since_ms = self.watched_ms.get(&part);
        since_ms.is_some_and(|since_ms| {
            (since_ms + settings.min_watch_ms..since_ms + settings.watch_ms).contains(&now_ms)
        })
    }

    /// Returns how many crashes have to speak against a part. Where many engines crash
    /// without it, some of the many sound parts are on several of them by chance.
    fn needed_crashes(&self, part: u64, settings: &CrashPartSettings) -> usize {
        let others = self.crashes.iter().filter(|crash| !crash.holds(part));
        let mut others = others.count();
        let mut needed = settings.rejected_crashes;
        while others >= settings.other_crashes && needed < settings.max_rejected_crashes {
            others /= settings.other_crashes;
            needed += 1;
        }
        needed
    }

    /// Returns how many answers without a part this instance has completed since the part's
    /// first crash that counts.
    fn other_answers(&self, part: u64) -> usize {
        let completed_ms = self.completed_ms.get(&part).copied().unwrap_or(0);
        let mut with = self.crashes.iter().filter(|crash| crash.holds(part));
        let first = with.find(|crash| crash.at_ms > completed_ms);
        let first_ms = first.map_or(u64::MAX, |crash| crash.at_ms);
        let others = self
            .answers
            .iter()
            .filter(|answer| answer.at_ms > first_ms && !answer.parts.contains(&part));
        others.count()
    }

    /// Returns whether a part was on a crashed engine without a part that is known to crash
    /// engines.
    fn has_unexplained(&self, part: u64, is_known: impl Fn(u64) -> bool) -> bool {
        let mut with = self.crashes.iter().filter(|crash| crash.holds(part));
        with.any(|crash| !crash.prompts.iter().flatten().any(|other| is_known(*other)))
    }

    /// Returns the position of a part in its prompts.
    fn depth(&self, part: u64) -> usize {
        let prompts = self.crashes.iter().flat_map(|crash| &crash.prompts);
        let positions = prompts.filter_map(|parts| parts.iter().position(|other| *other == part));
        positions.max().unwrap_or(0)
    }
}
