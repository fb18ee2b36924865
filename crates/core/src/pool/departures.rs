use {
    super::EngineEntry,
    serde::{Deserialize, Serialize},
    std::collections::{HashMap, VecDeque},
};

/// Departures kept for peers and told in one heartbeat, so that it fits a datagram.
const MAX_REPORTED: usize = 64;

/// One start of an engine that drains or has left the list, or is back there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Short hash of the start.
    pub start: u32,
    /// Revision of the store from which on it holds. An entry that was written
    /// later says otherwise.
    pub revision: u64,
    /// Whether the engine was listed again at that revision: entries lapse while
    /// the store is away.
    pub is_over: bool,
}

impl Departure {
    /// Returns the departure of an engine at a revision.
    pub fn of(entry: &EngineEntry, revision: u64) -> Departure {
        Departure {
            start: entry.incarnation.short_hash(),
            revision,
            is_over: false,
        }
    }
}

/// The last report of a departure or its end by a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Report {
    pub(super) peer: String,
    pub(super) at_ms: u64,
    pub(super) departure: Departure,
}

/// Engines that have left, as the own list and peers told.
///
/// What peers told holds for as long as the own list is older: an instance that
/// can't read the store has no end of that in sight, and its list has the engine
/// all the while. A time-out would send it work again. Only an entry that was
/// written later ends it, read here or told.
#[derive(Debug, Default)]
pub(super) struct Departures {
    seen: VecDeque<Departure>,
    reported: HashMap<u32, Report>,
}

impl Departures {
    /// Notes that the own list lacks an engine from a revision on.
    pub(super) fn record_removal(&mut self, entry: &EngineEntry, revision: u64) {
        self.record(Departure::of(entry, revision));
    }

    /// Notes an entry of the own list. One that drains is a departure, any other
    /// ends those before it.
    pub(super) fn record_entry(&mut self, entry: &EngineEntry) {
        let listed = Departure {
            is_over: !entry.draining,
            ..Departure::of(entry, entry.revision)
        };
        let mut seen = self.seen.iter();
        let before = seen.find(|seen| seen.start == listed.start);
        let is_newer = before.map_or(entry.draining, |before| before.revision < listed.revision);
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

    /// Takes over what a peer told. Returns whether it is news that the engine
    /// leaves.
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

    /// Returns whether a peer reported that an engine leaves, later than its entry
    /// was written.
    pub(super) fn is_reported(&self, entry: &EngineEntry) -> bool {
        self.report_of(entry).is_some_and(|report| {
            let departure = report.departure;
            departure.revision >= entry.revision && !departure.is_over
        })
    }

    /// Returns the last report of an engine's departure or its end.
    pub(super) fn report_of(&self, entry: &EngineEntry) -> Option<&Report> {
        if self.reported.is_empty() {
            return None;
        }
        self.reported.get(&entry.incarnation.short_hash())
    }

    /// Forgets what the own list tells by itself, but for some starts.
    pub(super) fn remove_up_to(&mut self, revision: u64, retained: &[u32]) {
        self.reported.retain(|start, report| {
            report.departure.revision > revision || retained.contains(start)
        });
    }

    /// Returns what those need to hear who know the list up to a revision, the
    /// newest that was seen first.
    pub(super) fn since(&self, revision: u64) -> Vec<Departure> {
        let reported = self.reported.values().map(|report| report.departure);
        let seen = self.seen.iter().rev().copied();
        seen.chain(reported)
            .filter(|departure| departure.revision > revision)
            .take(MAX_REPORTED)
            .collect()
    }
}
