use {super::Departure, derive_more::Display};

/// What the engine list and the peers say about the presence of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListingStatus {
    /// Revision of the store at which the entry of the engine was written.
    pub entry_revision: u64,
    /// Revision up to which this instance knows the list.
    pub list_revision: u64,
    /// Time since the store last answered a query about the list.
    pub list_age_ms: u64,
    /// Time since the list was found to lack the engine; `None` if it is
    /// listed.
    pub missing_ms: Option<u64>,
    /// Departure that a peer reported last, or its end.
    pub departure: Option<Departure>,
    /// Name of that peer.
    pub reported_by: Option<String>,
    /// Time since the report.
    pub reported_ago_ms: Option<u64>,
}

/// Why an engine that gets work may have left.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("{}", self.label())]
pub enum DepartureSuspicion {
    /// The list lacks it; its entry may have expired.
    Missing,
    /// A peer reported that it leaves, but its entry is newer.
    ReportedLeaving,
    /// The store has not answered about the list for longer than a watch takes.
    OldList,
}

impl DepartureSuspicion {
    /// Returns the label used in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            DepartureSuspicion::Missing => "missing",
            DepartureSuspicion::ReportedLeaving => "reported_leaving",
            DepartureSuspicion::OldList => "old_list",
        }
    }
}

impl ListingStatus {
    /// Returns why the engine may have left; `None` if there is no reason to
    /// assume so. A list is fresh up to an age of `fresh_ms`.
    pub fn departure_suspicion(&self, fresh_ms: u64) -> Option<DepartureSuspicion> {
        if self.missing_ms.is_some() {
            return Some(DepartureSuspicion::Missing);
        }
        if self.departure.is_some_and(|departure| !departure.is_over) {
            return Some(DepartureSuspicion::ReportedLeaving);
        }
        (self.list_age_ms > fresh_ms).then_some(DepartureSuspicion::OldList)
    }
}
