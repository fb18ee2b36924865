use {
    super::{EngineEntry, Incarnation, KnownEngine, ReplacedEngine},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
    },
};

/// Time for which a report that an engine was replaced applies, unless its entry is written
/// again before. A wrong report costs the engine no more than this, and an engine that is gone
/// gets one request of all instances together per such time until the list lacks it.
const REPORT_VALID_MS: u64 = 10_000;

/// Maximum number of reports that are kept. They are far fewer than the listed engines.
const MAX_REPORTS: usize = 4_096;

/// Entry of a later start at the address of an engine.
#[derive(Debug)]
struct Successor {
    start: Incarnation,
    revision: u64,
}

/// Report that another engine listens at the address of an engine.
#[derive(Debug)]
struct Report {
    /// Revision of the entry that named the address.
    revision: u64,
    until_ms: u64,
}

/// Engines at whose addresses other ones listen, according to the list and to answers.
///
/// Load: engines that crash and return at the same address under a new ID, while every
/// instance goes on sending to the old ID.
///
/// The clock behind the start of an engine may be wrong and a reading of the list stale. By the
/// list, an engine is therefore replaced only by an entry that has both a later start and a
/// later revision, for as long as both entries name the address and no answer shows that the
/// later one isn't there. A report applies up to the revision that it is about: whoever writes
/// its entry again lives.
#[derive(Debug, Default)]
pub(super) struct Replacements {
    ids_by_address: HashMap<SocketAddr, BTreeSet<String>>,
    /// Engines at whose addresses later ones are listed.
    successors: HashMap<String, Successor>,
    reports: HashMap<Incarnation, Report>,
}

impl Replacements {
    /// Records that an engine is listed at an address, or is no longer.
    pub(super) fn set_listed(
        &mut self,
        id: &str,
        address: SocketAddr,
        is_listed: bool,
        engines: &BTreeMap<String, KnownEngine>,
    ) {
        let ids = self.ids_by_address.entry(address).or_default();
        if is_listed {
            ids.insert(id.to_owned());
        } else {
            ids.remove(id);
            self.successors.remove(id);
        }
        let entries: Vec<&EngineEntry> = ids
            .iter()
            .filter_map(|id| engines.get(id))
            .map(|engine| &engine.entry)
            .collect();
        for entry in &entries {
            let id = &entry.incarnation.id;
            match entries.iter().find(|other| replaces(other, entry)) {
                Some(other) => drop(self.successors.insert(id.clone(), Successor::of(other))),
                None => drop(self.successors.remove(id)),
            }
        }
        if ids.is_empty() {
            self.ids_by_address.remove(&address);
        }
    }

    /// Applies a report. Returns whether it is news.
    pub(super) fn record(&mut self, report: &ReplacedEngine, now_ms: u64) -> bool {
        let start = report.incarnation();
        let known = self.reports.get(&start);
        if known.is_some_and(|known| known.applies_to(report.revision, now_ms)) {
            return false;
        }
        if self.reports.len() >= MAX_REPORTS {
            self.reports.retain(|_, report| now_ms < report.until_ms);
        }
        if self.reports.len() >= MAX_REPORTS {
            return false;
        }
        let report = Report {
            revision: report.revision,
            until_ms: now_ms + REPORT_VALID_MS,
        };
        self.reports.insert(start, report);
        true
    }

    /// Ends the report about a start of an engine.
    pub(super) fn remove_report(&mut self, start: &Incarnation) {
        if !self.reports.is_empty() {
            self.reports.remove(start);
        }
    }

    /// Returns whether another engine listens at the address of an entry.
    pub(super) fn is_replaced(&self, entry: &EngineEntry, now_ms: u64) -> bool {
        if self.successors.is_empty() && self.reports.is_empty() {
            return false;
        }
        let start = &entry.incarnation;
        let successor = self.successors.get(&start.id);
        let is_succeeded = successor.is_some_and(|successor| {
            !self.is_reported(&successor.start, successor.revision, now_ms)
        });
        is_succeeded || self.is_reported(start, entry.revision, now_ms)
    }

    fn is_reported(&self, start: &Incarnation, revision: u64, now_ms: u64) -> bool {
        let report = self.reports.get(start);
        report.is_some_and(|report| report.applies_to(revision, now_ms))
    }
}

impl Successor {
    fn of(entry: &EngineEntry) -> Successor {
        Successor {
            start: entry.incarnation.clone(),
            revision: entry.revision,
        }
    }
}

impl Report {
    fn applies_to(&self, revision: u64, now_ms: u64) -> bool {
        revision <= self.revision && now_ms < self.until_ms
    }
}

/// Returns whether an entry shows that the engine of another entry at the same address is gone.
fn replaces(entry: &EngineEntry, other: &EngineEntry) -> bool {
    entry.incarnation.id != other.incarnation.id
        && entry.incarnation.born_ms > other.incarnation.born_ms
        && entry.revision > other.revision
}
