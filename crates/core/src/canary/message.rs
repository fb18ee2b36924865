use {
    super::{OrderId, Outcome, VersionSamples},
    derive_more::From,
    serde::{Deserialize, Serialize},
};

/// Results on one route, as one instance has seen them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteReport {
    /// Hash of the route's name.
    pub route: u32,
    /// Results since the instance heard of the order.
    pub samples: VersionSamples,
}

/// A second in which answers of an engine were lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LossReport {
    /// Hash of the engine's name.
    pub engine: u32,
    /// Whether the engine has the new version.
    pub is_candidate: bool,
    /// Seconds since the order was given.
    pub second: u32,
}

/// What an instance tells the deciders of a roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CanaryReport {
    /// Name of the instance.
    pub instance: String,
    /// Identifies one start of the instance.
    pub incarnation: u64,
    /// Order that the results belong to.
    pub order: OrderId,
    /// Share of requests that the instance sends to the new version, in thousandths.
    pub share_permille: u16,
    /// Requests of the instance that still run at engines of other versions.
    pub unfinished: u32,
    /// Results by route.
    pub routes: Vec<RouteReport>,
    /// The last losses that the instance has seen.
    pub losses: Vec<LossReport>,
}

/// What a decider tells all instances of one order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CanaryDirective {
    /// Name of the decider.
    pub decider: String,
    /// Order that it decides.
    pub order: OrderId,
    /// Revision of the order's entry that the decider has read.
    pub revision: u64,
    /// Time since the order was given.
    pub age_ms: u32,
    /// Time within which it has to be carried out; 0 if the entry has an invalid one.
    pub duration_ms: u32,
    /// Share of requests to send to the new version, in thousandths.
    pub share_permille: u16,
    /// Whether only requests that may run again are tried.
    pub only_repeatable: bool,
    /// Decision, if there is one.
    pub outcome: Option<Outcome>,
    /// Whether the store has the decision.
    pub is_stored: bool,
}

/// A message between instances about roll-outs of software.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, From)]
pub enum CanaryMessage {
    /// Results, to deciders.
    Report(CanaryReport),
    /// Directive of a decider, to all.
    Directive(CanaryDirective),
}
