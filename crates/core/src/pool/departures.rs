use {
    super::EngineEntry,
    serde::{Deserialize, Serialize},
    std::collections::{HashMap, VecDeque},
};

/// Maximum number of departures kept for peers and sent in one heartbeat, so
/// that it fits into a datagram.
const MAX_REPORTED: usize = 64;

/// An incarnation of an engine that drains, has left the engine list, or has
/// been listed again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Short hash of the incarnation.
    pub start: u32,
    /// Revision of the store from which on this applies. An entry written later
    /// supersedes it.
    pub revision: u64,
    /// Whether the engine was listed again at that revision: entries expire
    /// while the store is unavailable and are written again afterwards.
    pub is_over: bool,
}

impl Departure {
    /// Returns the departure of the incarnation of an entry at a revision.
    pub fn of(entry: &EngineEntry, revision: u64) -> Departure {
        Departure {
            start: entry.incarnation.short_hash(),
            revision,
            is_over: false,
        }
    }
}

/// The last report of a peer about a departure or its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Report {
    pub(super) peer: String,
    pub(super) at_ms: u64,
    pub(super) departure: Departure,
}

/// Engines that have left, according to the own list (`seen`) and to peers
/// (`reported`).
///
/// The report of a peer applies for as long as the own list is older. An
/// instance that cannot read the store keeps the engine in its list for an
/// unbounded time, so a timeout would send new work to an engine that has left.
/// Only an entry written later ends a departure, whether it was read by this
/// instance or reported.
#[derive(Debug, Default)]
pub(super) struct Departures {
    seen: VecDeque<Departure>,
    reported: HashMap<u32, Report>,
}

impl Departures {
    /// Records that the own list lacks an engine since a revision.
    pub(super) fn record_removal(&mut self, entry: &EngineEntry, revision: u64) {
        self.record(Departure::of(entry, revision));
    }

    /// Records an entry of the own list. A draining engine is a departure; any
    /// other entry ends an earlier departure.
    pub(super) fn record_entry(&mut self, entry: &EngineEntry) {
        let listed = Departure {
            is_over: !entry.draining,
            ..Departure::of(entry, entry.revision)
        };
        let mut seen = self.seen.iter();
        let previous = seen.find(|seen| seen.start == listed.start);
        let is_newer = previous.map_or(entry.draining, |previous| {
            previous.revision < listed.revision
        });
        if is_newer {
            self.record(listed);
        }
    }

    fn record(&mut self, departure: Departure) {
        self.seen.retain(|seen| seen.start != departure.start);
        self.seen.push_back(departure);
        if self.seen.len() > MAX_REPORTED {
            self.seen.pop_front();
        }
    }

    /// Applies the report of a peer. Returns whether the engine was not known
    /// to be departing before.
    pub(super) fn merge(&mut self, peer: &str, departure: Departure, now_ms: u64) -> bool {
        let known = self.reported.get(&departure.start);
        let known = known.map(|report| report.departure);
        if known.is_some_and(|known| known.revision > departure.revision) {
            return false;
        }
        let report = Report {
            peer: peer.to_owned(),
            at_ms: now_ms,
            departure,
        };
        self.reported.insert(departure.start, report);
        known.is_none_or(|known| known.is_over) && !departure.is_over
    }

    /// Returns whether a peer reported a departure at or after the revision of
    /// the entry.
    pub(super) fn is_reported(&self, entry: &EngineEntry) -> bool {
        self.report_of(entry).is_some_and(|report| {
            let departure = report.departure;
            departure.revision >= entry.revision && !departure.is_over
        })
    }

    /// Returns the last report about a departure of the engine or its end.
    pub(super) fn report_of(&self, entry: &EngineEntry) -> Option<&Report> {
        if self.reported.is_empty() {
            return None;
        }
        self.reported.get(&entry.incarnation.short_hash())
    }

    /// Removes reports that the own list covers up to a revision, except for
    /// the `retained` incarnations.
    pub(super) fn remove_up_to(&mut self, revision: u64, retained: &[u32]) {
        self.reported.retain(|start, report| {
            report.departure.revision > revision || retained.contains(start)
        });
    }

    /// Returns the revision of the newest departure; 0 if there is none.
    pub(super) fn newest_revision(&self) -> u64 {
        let reported = self.reported.values().map(|report| report.departure);
        let all = self.seen.iter().copied().chain(reported);
        all.map(|departure| departure.revision).max().unwrap_or(0)
    }

    /// Returns the departures after a revision, for peers that know the list up
    /// to it. The most recently seen come first.
    pub(super) fn since(&self, revision: u64) -> Vec<Departure> {
        let reported = self.reported.values().map(|report| report.departure);
        let seen = self.seen.iter().rev().copied();
        seen.chain(reported)
            .filter(|departure| departure.revision > revision)
            .take(MAX_REPORTED)
            .collect()
    }
}
