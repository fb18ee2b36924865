use {super::Departure, derive_more::Display};

/// What the list of engines and the peers say of whether an engine is there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListingStatus {
    /// Revision of the store at which the engine's entry was written.
    pub entry_revision: u64,
    /// Revision up to which the list is known here.
    pub list_revision: u64,
    /// Time since the store last said anything of the list.
    pub list_age_ms: u64,
    /// Time since a reading of the list lacked the engine.
    pub missing_ms: Option<u64>,
    /// The departure that a peer reported last, or its end.
    pub departure: Option<Departure>,
    /// That peer.
    pub reported_by: Option<String>,
    /// Time since its report.
    pub reported_ago_ms: Option<u64>,
}

/// Why an engine that gets work may have left.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("{}", self.label())]
pub enum DepartureSuspicion {
    /// The list lacks it; its entry may have lapsed.
    Missing,
    /// A peer reported that it leaves, but its entry is newer.
    ReportedLeaving,
    /// The list was not heard of for longer than a watch takes.
    OldList,
}

impl DepartureSuspicion {
    /// Returns the label under which it is logged and counted.
    pub fn label(self) -> &'static str {
        match self {
            DepartureSuspicion::Missing => "missing",
            DepartureSuspicion::ReportedLeaving => "reported_leaving",
            DepartureSuspicion::OldList => "old_list",
        }
    }
}

impl ListingStatus {
    /// Returns why the engine may have left, for a list that counts as fresh up
    /// to an age.
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
