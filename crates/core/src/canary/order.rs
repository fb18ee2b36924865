use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// Identity of one operator's order to move a service to a software version.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Display)]
#[display("{service}/{to}")]
pub struct OrderId {
    /// Service whose engines are replaced.
    pub service: String,
    /// Software version of the new engines.
    pub to: String,
    /// Revision of the store at which the entry was created. An entry that was removed
    /// and written again is another order.
    pub created: u64,
}

/// Final result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display)]
pub enum Outcome {
    /// The new version has replaced the old one.
    #[display("completed")]
    Completed,
    /// The new version was withdrawn.
    #[display("rolled_back")]
    RolledBack,
}

/// An operator's order, as the store has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CanaryOrder {
    /// Identity of the order.
    pub id: OrderId,
    /// Name of the entry in the store.
    pub name: String,
    /// Revision of the entry, under which its state is written.
    pub revision: u64,
    /// Time within which the order has to be carried out; `None` if the entry has an
    /// invalid one, and the new engines are not used.
    pub duration_ms: Option<u64>,
    /// Whether the store says that the order is being carried out.
    pub is_started: bool,
    /// Final result in the store.
    pub outcome: Option<Outcome>,
}

impl CanaryOrder {
    /// Takes over what a newer reading of the same order says. What a peer tells has no
    /// name of the entry.
    pub(super) fn update(&mut self, other: &CanaryOrder) {
        if other.revision >= self.revision {
            self.revision = other.revision;
            self.is_started |= other.is_started;
        }
        if self.name.is_empty() {
            self.name.clone_from(&other.name);
        }
    }
}
