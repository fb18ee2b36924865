use {
    crate::{
        poison::CrashReport,
        pool::{Departure, Load},
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Progress of a change of one engine's weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderPhase {
    /// The order will be sent soon; new requests to the engine are paused.
    Planned,
    /// The order was sent to the engine.
    Sent,
    /// The engine has loaded the weights.
    Done,
}

/// What the lease holder reports of its order to one engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReport {
    /// Name of the engine.
    pub engine: String,
    /// Model whose weights the order changes.
    pub model: String,
    /// Version of the weights that the order loads.
    pub version: u64,
    /// Progress of the order.
    pub phase: OrderPhase,
    /// Age of the phase when the heartbeat was sent.
    pub age_ms: u32,
}

/// What an instance reports of one team's token rate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamReport {
    /// Name of the team.
    pub team: String,
    /// Tokens that the team has spent at this instance since the instance
    /// started.
    pub spent: f64,
    /// Tokens left of the team's rate, as the instance estimates.
    pub level: f32,
    /// Tokens a second that the team's requests asked for.
    pub demand_per_s: f32,
}

/// State that an instance sends to its peers several times a second.
///
/// Each heartbeat is one datagram with the full state, so the next one makes up
/// for a lost one, and there is no connection between instances that could
/// stall without notice.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the instance.
    pub name: String,
    /// Identifies one start of the instance; it grows with each start.
    pub incarnation: u64,
    /// Time since the instance started.
    pub up_ms: u32,
    /// Grows with each heartbeat, so that receivers drop one that arrives after
    /// a newer one.
    pub sequence: u64,
    /// Address at which the instance accepts callers.
    pub caller_address: SocketAddr,
    /// Address at which the instance receives heartbeats.
    pub peer_address: SocketAddr,
    /// Failure domain of the instance.
    pub domain: String,
    /// Whether callers may be sent to the instance.
    pub ready: bool,
    /// Whether this is the last heartbeat: the instance has stopped and serves
    /// no requests.
    pub stopped: bool,
    /// Whether the instance follows changes of all kinds of objects in the
    /// store.
    pub has_store: bool,
    /// Version of the configuration that the instance has in force.
    pub configuration_version: u64,
    /// Published weights as model, version and, if known, milliseconds since
    /// they were published: the newest ones and those that bound the use of
    /// older ones.
    pub versions: Vec<(String, u64, Option<u32>)>,
    /// Unfinished work that the instance has sent to each engine.
    pub loads: Vec<(String, Load)>,
    /// Recent placements: shared prompt parts that engines have prefilled for
    /// the instance, each with a short hash of the engine's name.
    #[serde(rename = "placed")]
    pub placements: Vec<(u64, u32)>,
    /// Engines that do not answer the instance.
    #[serde(rename = "silent")]
    pub silent_engines: Vec<String>,
    /// Store revision up to which the instance knows the engine list; 0 before
    /// its first read.
    pub engines_revision: u64,
    /// Departures of engines that peers may not know yet.
    pub departures: Vec<Departure>,
    /// Crashes of engines, and the requests that they are attributed to.
    pub crashes: Vec<CrashReport>,
    /// Whether the instance knows what was spent of the teams' rates before it
    /// started.
    pub knows_rates: bool,
    /// Number of instances that it counts, live or silent, itself included.
    pub instances: u32,
    /// Time for which `instances` remains valid.
    pub counted_for_ms: u32,
    /// Demand and spending of each team at the instance.
    pub teams: Vec<TeamReport>,
    /// Whether the instance holds the lease under which orders are sent to
    /// engines.
    pub holds_lease: bool,
    /// Time since its last order, or since the last one that an earlier holder may have
    /// sent when the instance last tried to take the lease; `None` if there was neither
    /// since it started.
    pub ordered_ago_ms: Option<u32>,
    /// Orders that the instance sends under the lease.
    pub orders: Vec<OrderReport>,
    /// Some of the peers that are live for the instance, so that all instances
    /// discover a new one.
    pub peers: Vec<SocketAddr>,
}

impl Heartbeat {
    /// Returns the heartbeat as it is sent in a pack after another instance has held it
    /// for `held_ms`. Teams of which the author has nothing to report are left out:
    /// only the levels would be news, which an instance that has just started gets
    /// directly.
    pub fn packed(&self, held_ms: u32) -> Heartbeat {
        let mut packed = self.held_for(held_ms);
        let is_news = |team: &TeamReport| team.spent != 0.0 || team.demand_per_s != 0.0;
        packed.teams.retain(is_news);
        packed
    }

    /// Returns the heartbeat as it would be had it been sent `held_ms` later, after
    /// another instance has held it for that time. Weights and orders would otherwise
    /// seem younger than they are.
    pub fn held_for(&self, held_ms: u32) -> Heartbeat {
        let mut held = self.clone();
        for (_, _, age_ms) in &mut held.versions {
            *age_ms = age_ms.map(|age_ms| age_ms.saturating_add(held_ms));
        }
        for order in &mut held.orders {
            order.age_ms = order.age_ms.saturating_add(held_ms);
        }
        for crash in &mut held.crashes {
            crash.age_ms = crash.age_ms.saturating_add(u64::from(held_ms));
        }
        let ordered_ago_ms = held.ordered_ago_ms;
        held.ordered_ago_ms = ordered_ago_ms.map(|ago_ms| ago_ms.saturating_add(held_ms));
        held.counted_for_ms = held.counted_for_ms.saturating_sub(held_ms);
        held.up_ms = held.up_ms.saturating_add(held_ms);
        held
    }
}
