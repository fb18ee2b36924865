use {
    super::EngineEntry,
    serde::{Deserialize, Serialize},
    std::collections::{HashMap, VecDeque},
};

/// Departures told in one heartbeat, so that it fits a datagram.
const MOST_TOLD: usize = 64;

/// One start of an engine that drains or has left the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Short hash of the start.
    pub start: u32,
    /// Revision of the store from which on it holds. An entry that was written
    /// later says otherwise.
    pub revision: u64,
}

impl Departure {
    /// Returns the departure of an engine at a revision.
    pub fn of(entry: &EngineEntry, revision: u64) -> Departure {
        Departure {
            start: entry.incarnation.short_hash(),
            revision,
        }
    }
}

/// A departure that a peer told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Told {
    /// Name of the peer that told it last.
    pub(super) peer: String,
    /// When that was.
    pub(super) at_ms: u64,
    /// Revision from which on it holds.
    pub(super) revision: u64,
}

/// Engines that have left, as the own list and peers told.
///
/// What peers told holds for as long as the own list is older: an instance that
/// can't read the store has no end of that in sight, and its list has the engine
/// all the while. A time-out would send it work again.
#[derive(Debug, Default)]
pub(super) struct Departures {
    seen: VecDeque<Departure>,
    told: HashMap<u32, Told>,
}

impl Departures {
    /// Notes that the own list lacks an engine.
    pub(super) fn see(&mut self, departure: Departure) {
        self.seen.push_back(departure);
        if self.seen.len() > MOST_TOLD {
            self.seen.pop_front();
        }
    }

    /// Notes that an engine is listed, which ends departures before its entry.
    pub(super) fn list(&mut self, entry: &EngineEntry) {
        let start = entry.incarnation.short_hash();
        self.seen
            .retain(|seen| seen.start != start || seen.revision >= entry.revision);
    }

    /// Takes over what a peer told. Returns whether it is news.
    pub(super) fn hear(&mut self, peer: &str, departure: Departure, now_ms: u64) -> bool {
        let known = self.told.get(&departure.start).map(|told| told.revision);
        if known.is_some_and(|revision| revision > departure.revision) {
            return false;
        }
        let told = Told {
            peer: peer.to_owned(),
            at_ms: now_ms,
            revision: departure.revision,
        };
        self.told.insert(departure.start, told);
        known.is_none()
    }

    /// Returns what peers told of an engine, if that is as new as its entry.
    pub(super) fn told_of(&self, entry: &EngineEntry) -> Option<&Told> {
        if self.told.is_empty() {
            return None;
        }
        let told = self.told.get(&entry.incarnation.short_hash())?;
        (told.revision >= entry.revision).then_some(told)
    }

    /// Forgets what the own list tells by itself, but for some starts.
    pub(super) fn forget_up_to(&mut self, revision: u64, but_for: &[u32]) {
        self.told
            .retain(|start, told| told.revision > revision || but_for.contains(start));
    }

    /// Returns what those need to hear who know the list up to a revision, the
    /// newest of what left first, beside the engines that drain.
    pub(super) fn since(
        &self,
        revision: u64,
        draining: impl Iterator<Item = Departure>,
    ) -> Vec<Departure> {
        let told = self.told.iter().map(|(&start, told)| Departure {
            start,
            revision: told.revision,
        });
        let seen = self.seen.iter().rev().copied();
        seen.chain(draining)
            .chain(told)
            .filter(|departure| departure.revision > revision)
            .take(MOST_TOLD)
            .collect()
    }
}
