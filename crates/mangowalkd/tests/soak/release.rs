//! Releases of new software versions of the model engines.

use {
    super::faults::{Action, DRAIN_MS, Departure, Faults},
    std::time::Instant,
};

/// Number of engines that join in a release.
const JOINING_ENGINES: usize = 3;

impl Faults {
    /// Adds engines with a new version, and schedules the departure of the former ones and
    /// the return of their version.
    pub(crate) fn release(
        &mut self,
        is_drained: bool,
        leave_ms: u64,
        return_ms: Option<u64>,
        now: Instant,
    ) {
        self.releases.push(now);
        let version = format!("v{}", 1 + self.releases.len());
        let former_version = std::mem::replace(&mut self.software, version);
        let ids = self.add_release();
        self.schedule(now, leave_ms, Action::LeaveAll { ids, is_drained });
        if let Some(return_ms) = return_ms {
            self.schedule(now, return_ms, Action::RollBack(former_version));
        }
    }

    /// Adds engines of a former version; all others leave at once.
    pub(crate) fn roll_back(&mut self, software: String, now: Instant) {
        self.software = software;
        let ids = self.add_release();
        self.leave_all(&ids, false, now);
    }

    /// Adds engines, and returns the IDs of the ones before them.
    fn add_release(&mut self) -> Vec<String> {
        let listed = self.listed.iter();
        let former = listed.filter(|id| id.starts_with('e')).cloned().collect();
        for _ in 0..JOINING_ENGINES {
            self.add_engine(true);
        }
        former
    }

    /// Takes engines off the list, those that another fault has not.
    pub(crate) fn leave_all(&mut self, ids: &[String], is_drained: bool, now: Instant) {
        for id in ids {
            let Some(index) = self.listed.iter().position(|listed| listed == id) else {
                continue;
            };
            self.listed.remove(index);
            self.departures.push(Departure {
                engine: id.clone(),
                at: now,
            });
            match self.engine(id).map(|engine| engine.entry("draining")) {
                Some(entry) if is_drained => {
                    self.deployment.store.write("servers", id, entry);
                    self.schedule(now, DRAIN_MS, Action::RemoveEntry(id.clone()));
                }
                _ => self.deployment.store.remove("servers", id),
            }
        }
    }
}
