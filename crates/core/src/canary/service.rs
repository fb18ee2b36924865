use {
    super::{CanaryOrder, OrderId, Outcome, SoftwareRole, open_order::OpenOrder},
    std::collections::{BTreeMap, BTreeSet},
};

/// A decided order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct FinishedOrder {
    pub(super) order: CanaryOrder,
    pub(super) outcome: Outcome,
    pub(super) is_stored: bool,
    pub(super) since_ms: u64,
}

/// A version of which it isn't known whether an order concerns it.
#[derive(Debug)]
pub(super) struct HeldVersion {
    pub(super) first_revision: u64,
    pub(super) since_ms: u64,
}

/// The software versions of one service.
#[derive(Debug, Default)]
pub(super) struct ServiceSoftware {
    pub(super) in_use: BTreeSet<String>,
    pub(super) withdrawn: BTreeSet<String>,
    pub(super) outgoing: BTreeSet<String>,
    pub(super) held: BTreeMap<String, HeldVersion>,
    pub(super) open: Option<OpenOrder>,
    pub(super) finished: Option<FinishedOrder>,
}

impl ServiceSoftware {
    /// Returns which order is open and which is finished, to tell changes.
    pub(super) fn state(&self) -> (Option<OrderId>, Option<(OrderId, Outcome)>) {
        let open = self.open.as_ref().map(|open| open.order.id.clone());
        let finished = self.finished.as_ref();
        let finished = finished.map(|finished| (finished.order.id.clone(), finished.outcome));
        (open, finished)
    }

    pub(super) fn open_order(&mut self, id: &OrderId) -> Option<&mut OpenOrder> {
        self.open.as_mut().filter(|open| open.order.id == *id)
    }

    /// Opens an order, unless a newer one is known or it is decided. An older one that
    /// is open is given up.
    pub(super) fn open(&mut self, order: &CanaryOrder, age_ms: u64, draw: f64, now_ms: u64) {
        let given_ms = now_ms as i64 - age_ms as i64;
        if let Some(open) = &mut self.open {
            if open.order.id == order.id {
                open.given_ms = open.given_ms.min(given_ms);
                open.update(order);
                return;
            }
            if open.order.revision >= order.revision {
                return;
            }
        }
        let finished = self.finished.as_mut().map(|finished| &mut finished.order);
        if let Some(finished) = finished {
            if finished.id == order.id {
                // The result may still have to be written under the revision read.
                return finished.update(order);
            }
            if finished.revision >= order.revision {
                return;
            }
        }
        let is_void = self.in_use.len() == 1 && self.in_use.contains(&order.id.to);
        if let Some(open) = self.open.take() {
            self.withdrawn.insert(open.order.id.to);
        }
        self.withdrawn.remove(&order.id.to);
        self.held.remove(&order.id.to);
        if !is_void {
            self.in_use.remove(&order.id.to);
        }
        self.open = Some(OpenOrder::new(order, given_ms, is_void, draw, now_ms));
    }

    /// Puts a result in force. What the store has is final; anything else gives way to
    /// it.
    pub(super) fn finish(
        &mut self,
        order: &CanaryOrder,
        outcome: Outcome,
        is_stored: bool,
        now_ms: u64,
    ) {
        let open_revision = self.open.as_ref().map(|open| open.order.revision);
        let is_of_open = self.open_order(&order.id).is_some();
        if !is_of_open && open_revision.is_some_and(|open| open > order.revision) {
            return;
        }
        if let Some(finished) = &mut self.finished {
            if finished.order.id == order.id && finished.outcome == outcome {
                finished.is_stored |= is_stored;
                finished.order.update(order);
                return;
            }
            let is_older = finished.order.revision > order.revision;
            let is_final = finished.is_stored && finished.order.id == order.id;
            if is_final || (is_older && finished.order.id != order.id) {
                return;
            }
        }
        let mut order = order.clone();
        if let Some(open) = self.open_order(&order.id) {
            // A directive doesn't hold the name, and maybe an old revision; the result can't
            // be written without the name and the newest one.
            order.name.clone_from(&open.order.name);
            order.update(&open.order);
        }
        self.open = None;
        let to = order.id.to.clone();
        self.held.remove(&to);
        match outcome {
            Outcome::Completed => {
                self.withdrawn.remove(&to);
                self.outgoing.append(&mut self.in_use);
                self.outgoing.remove(&to);
                self.in_use.insert(to);
            }
            Outcome::RolledBack => {
                self.in_use.remove(&to);
                self.withdrawn.insert(to);
            }
        }
        self.finished = Some(FinishedOrder {
            order,
            outcome,
            is_stored,
            since_ms: now_ms,
        });
    }

    pub(super) fn role(
        &mut self,
        version: &str,
        revision: u64,
        view_revision: Option<u64>,
        now_ms: u64,
    ) -> SoftwareRole {
        if self.in_use.contains(version) {
            return SoftwareRole::InUse;
        }
        if self.withdrawn.contains(version) {
            return SoftwareRole::Withdrawn;
        }
        let is_candidate = |open: &OpenOrder| open.order.id.to == version;
        if self.open.as_ref().is_some_and(is_candidate) {
            return SoftwareRole::Candidate;
        }
        if self.outgoing.contains(version) {
            return SoftwareRole::Outgoing;
        }
        let held = self.held.entry(version.to_owned()).or_insert(HeldVersion {
            first_revision: revision,
            since_ms: now_ms,
        });
        held.first_revision = held.first_revision.min(revision);
        let first_revision = held.first_revision;
        if view_revision.is_none_or(|view_revision| view_revision < first_revision) {
            return SoftwareRole::Held;
        }
        self.held.remove(version);
        let completed = self.finished.as_ref().filter(|finished| {
            finished.outcome == Outcome::Completed && first_revision < finished.order.revision
        });
        if completed.is_some() {
            self.outgoing.insert(version.to_owned());
            return SoftwareRole::Outgoing;
        }
        self.in_use.insert(version.to_owned());
        SoftwareRole::InUse
    }
}
