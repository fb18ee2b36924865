use {
    crate::{
        poison::CrashReport,
        pool::{Departure, Load},
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// How far the change of one engine's weights is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderPhase {
    /// New work is kept away; the order goes out soon.
    Planned,
    /// The order was sent.
    Sent,
    /// The engine has the weights.
    Done,
}

/// What the instance that orders weights tells of one engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReport {
    /// The engine.
    pub engine: String,
    /// Model whose weights change.
    pub model: String,
    /// Weights that it will have.
    pub version: u64,
    /// How far it is.
    pub phase: OrderPhase,
    /// Age of the phase when this was told.
    pub age_ms: u32,
}

/// What an instance tells of one team's rate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamReport {
    /// The team.
    pub team: String,
    /// Tokens spent since the instance's start.
    pub spent: f64,
    /// Tokens that are left, as the instance estimates.
    pub level: f32,
    /// Tokens a second that were asked for.
    pub demand_per_s: f32,
}

/// What an instance tells its peers, several times a second.
///
/// One datagram: a lost one is made up for by the next, and no connection
/// between instances can fall silent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the instance.
    pub name: String,
    /// Grows with each start of the instance.
    pub incarnation: u64,
    /// Time since the start of the instance.
    pub up_ms: u32,
    /// Grows with each heartbeat; an older one that comes late is dropped.
    pub sequence: u64,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where peers send.
    pub peer_address: SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Whether callers may be sent here.
    pub ready: bool,
    /// Whether this is its last heartbeat: it has stopped and serves nobody.
    pub stopped: bool,
    /// Whether it follows the store just now.
    pub has_store: bool,
    /// Version of the configuration in force there.
    pub configuration_version: u64,
    /// Weights named by model, and how many milliseconds ago, if known; the
    /// newest and those that bound the use of older ones.
    pub versions: Vec<(String, u64, Option<u32>)>,
    /// Work sent to each engine and not done.
    pub loads: Vec<(String, Load)>,
    /// Shared parts that engines have read for it just now, and a short hash
    /// of each engine's name.
    #[serde(rename = "placed")]
    pub placements: Vec<(u64, u32)>,
    /// Engines that don't answer it.
    #[serde(rename = "silent")]
    pub silent_engines: Vec<String>,
    /// Revision of the store up to which it knows the list of engines; 0 before
    /// it has read it.
    pub engines_revision: u64,
    /// Engines that leave or have left, as far as peers may not know it.
    pub departures: Vec<Departure>,
    /// Crashes of engines, and the requests that answer for them.
    pub crashes: Vec<CrashReport>,
    /// Whether it knows what was spent of the teams' rates before its start.
    pub knows_rates: bool,
    /// Instances that it counts, heard or not, itself included.
    pub instances: u32,
    /// Time for which that count still holds.
    pub counted_for_ms: u32,
    /// What was asked for and spent, by team.
    pub teams: Vec<TeamReport>,
    /// Whether it holds the lease under which orders are given.
    pub holds_lease: bool,
    /// Time since its last order, where it gave one since its start.
    pub ordered_ago_ms: Option<u32>,
    /// Orders of the instance that holds the lease.
    pub orders: Vec<OrderReport>,
    /// Other instances that it hears, so that a new one is found by all.
    pub peers: Vec<SocketAddr>,
}
