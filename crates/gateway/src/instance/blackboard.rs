use {
    super::{Counters, Crashes, Drain, Following, GatewaySettings, Reload, reloaded},
    crate::clock::now_ms,
    mangowalk_core::{
        mesh::{MemberTable, OrderReport},
        pool::{EngineTable, KvStoreContents, MeanPromptLength, PrefillRate, Turnover, short_hash},
        retries::RetryBudget,
        routing::{Configuration, RouteTable},
        share::{ShareSettings, ShareTable},
        weights::{PublishedAt, WeightsHistory},
    },
    mangowalk_platform::{Freshness, MachineSettings},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, HashMap, VecDeque},
        net::SocketAddr,
        rc::Rc,
    },
    tokio::sync::{Notify, watch},
};

/// Wake-ups from one part to another.
#[derive(Debug, Default)]
pub struct Notes {
    /// A peer has a newer configuration than this instance.
    pub configuration: Notify,
    /// Newer weights were named, or an engine needs them.
    pub orders: Notify,
    /// An engine fell silent.
    pub silent: Notify,
    /// A heartbeat should leave at once.
    pub heartbeat: Notify,
}

/// Time for which a placement is told: two heartbeats, as one may be lost.
const PLACED_MS: u64 = 450;

/// Part of a team's allowed slack that all instances together may overdraw for a
/// moment. The rest is for those that don't hear each other.
const SLACK_AT_ONCE: f64 = 0.5;

/// Time within which it isn't told again that an engine keeps a part. The first
/// parts of prompts are used many times a second.
const TOLD_AGAIN_MS: u64 = 1_000;

/// Placements told in one heartbeat, so that it fits one datagram.
const MOST_PLACED: usize = 48;

/// The blackboard of an instance. Parts read and write it; none calls
/// another.
pub struct Instance {
    /// What the platform says of the machine.
    machine: RefCell<Rc<MachineSettings>>,
    /// How the instance behaves.
    pub settings: GatewaySettings,
    /// Time of day at the start; tells this start from the one before.
    pub incarnation: u64,
    /// Requests that were on engines when these crashed.
    pub crashes: RefCell<Crashes>,
    /// What the store of kept parts holds.
    pub kept: RefCell<KvStoreContents>,
    /// Shared parts that engines have read for this instance, and when.
    pub placed: RefCell<VecDeque<(u64, u64, u32)>>,
    /// When this instance started.
    pub started_ms: u64,
    /// Configuration in force.
    pub routes: RefCell<Rc<RouteTable>>,
    /// Engines and what is believed of them.
    pub engines: RefCell<EngineTable>,
    /// Whether the list of engines was read since the start.
    pub engines_known: Cell<bool>,
    /// How far the store can be read.
    pub following: Following,
    /// How fast engines read prompts.
    pub read_rate: Cell<PrefillRate>,
    /// How fast engines' memory fills.
    pub turnover: Cell<Turnover>,
    /// The usual length of prompts.
    pub usual_prompt: Cell<MeanPromptLength>,
    /// Newest weights by model.
    pub newest: RefCell<BTreeMap<String, WeightsHistory>>,
    /// Parts of teams' rates.
    pub shares: RefCell<ShareTable>,
    /// Repeats by service.
    pub budgets: RefCell<HashMap<String, RetryBudget>>,
    /// Peers.
    pub members: RefCell<MemberTable>,
    /// Whether this instance holds the lease under which orders are given.
    pub holds_lease: Cell<bool>,
    /// When this instance gave its last order.
    pub ordered_ms: Cell<Option<u64>>,
    /// Orders that this instance gives, for its heartbeats.
    pub orders: RefCell<Vec<OrderReport>>,
    /// Counters for operators.
    pub counters: Counters,
    /// Requests that were read and not answered in full.
    pub open_requests: Cell<usize>,
    /// How far the stop is.
    pub drain: watch::Receiver<Drain>,
    /// Wake-ups.
    pub notes: Notes,
}

impl Instance {
    /// Returns the blackboard of an instance that knows nothing yet.
    pub fn new(
        machine: MachineSettings,
        settings: GatewaySettings,
        incarnation: u64,
        drain: watch::Receiver<Drain>,
    ) -> Rc<Instance> {
        let shares = ShareTable::new(
            &machine.name,
            ShareSettings {
                slack_tokens: machine.quota_slack_tokens * SLACK_AT_ONCE,
                ..ShareSettings::default()
            },
        );
        Rc::new(Instance {
            machine: RefCell::new(Rc::new(machine)),
            settings,
            incarnation,
            started_ms: now_ms(),
            crashes: RefCell::default(),
            kept: RefCell::default(),
            placed: RefCell::default(),
            routes: RefCell::default(),
            engines: RefCell::default(),
            engines_known: Cell::new(false),
            following: Following::default(),
            read_rate: Cell::default(),
            turnover: Cell::default(),
            usual_prompt: Cell::default(),
            newest: RefCell::default(),
            shares: RefCell::new(shares),
            budgets: RefCell::default(),
            members: RefCell::default(),
            holds_lease: Cell::new(false),
            ordered_ms: Cell::new(None),
            orders: RefCell::default(),
            counters: Counters::default(),
            open_requests: Cell::new(0),
            drain,
            notes: Notes::default(),
        })
    }

    /// Returns what the platform says of the machine.
    pub fn machine(&self) -> Rc<MachineSettings> {
        self.machine.borrow().clone()
    }

    /// Takes over what may change while the instance runs.
    pub fn reload(&self, fresh: &MachineSettings) -> Reload {
        let (settings, reload) = reloaded(&self.machine(), fresh);
        *self.machine.borrow_mut() = Rc::new(settings);
        self.try_seeds();
        reload
    }

    /// Greets the machines at which the platform expects peers.
    pub fn try_seeds(&self) {
        let machine = self.machine();
        let mut members = self.members.borrow_mut();
        for &seed in &machine.seeds {
            if seed != machine.peer_address {
                members.add_candidate(seed, now_ms());
            }
        }
    }

    /// Returns whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        self.is_informed() && *self.drain.borrow() == Drain::Serving
    }

    /// Returns whether configuration and engines are known.
    pub fn is_informed(&self) -> bool {
        self.routes.borrow().version() > 0 && self.engines_known.get()
    }

    /// Puts a configuration in force, unless one as new is.
    ///
    /// A lagging read or a slow peer may bring an older one; going back would
    /// let a withdrawn key in again.
    pub fn apply(&self, configuration: Configuration, source: &'static str, now_ms: u64) {
        let before = self.routes.borrow().version();
        if configuration.version <= before {
            return;
        }
        log::info!(
            "event=configuration version={} before={before} routes={} source={source}",
            configuration.version,
            configuration.routes.len(),
        );
        self.counters.count("configurations", source);
        self.shares
            .borrow_mut()
            .configure(&configuration.tenants, now_ms);
        *self.routes.borrow_mut() = Rc::new(RouteTable::new(configuration));
        self.notes.heartbeat.notify_one();
    }

    /// Notes weights that were named. Returns whether they are newer.
    pub fn name_weights(
        &self,
        model: &str,
        version: u64,
        at: PublishedAt,
        source: &'static str,
    ) -> bool {
        let mut newest = self.newest.borrow_mut();
        let named = newest.entry(model.to_owned()).or_default();
        let before = named.newest();
        if !named.insert(version, at, &self.settings.weights, now_ms()) {
            return false;
        }
        log::info!(
            "event=weights_named model={model} version={version} before={before} source={source}"
        );
        self.notes.orders.notify_one();
        self.notes.heartbeat.notify_one();
        true
    }

    /// Notes which peers may be spending of teams' rates.
    pub fn look_at_peers(&self, now_ms: u64) {
        let members = self.members.borrow();
        let mesh = &self.settings.mesh;
        let mut shares = self.shares.borrow_mut();
        shares.set_expected_instances(members.expected() + 1);
        shares.update_peers(|name| members.is_live(name, mesh, now_ms));
    }

    /// Returns the instances that may be serving, this one included.
    pub fn instances(&self) -> usize {
        self.members.borrow().iter().count() + 1
    }

    /// Returns how fresh this instance's readings of the store have to be.
    ///
    /// An instance that hears no peer before it reads currently, so one that is
    /// cut off from the others depends on nobody's word.
    pub fn freshness(&self, now_ms: u64) -> Freshness {
        let members = self.members.borrow();
        let own = &self.machine().name;
        let before =
            members.count_live_before(own, |peer| peer.has_store, &self.settings.mesh, now_ms);
        match before < self.settings.current_readers {
            true => Freshness::Current,
            false => Freshness::MayLag,
        }
    }

    /// Returns whether a peer that is heard has a newer configuration.
    pub fn is_behind(&self, now_ms: u64) -> bool {
        let own = self.routes.borrow().version();
        let members = self.members.borrow();
        let mut heard = members.live(&self.settings.mesh, now_ms);
        heard.any(|member| member.last_heartbeat.configuration_version > own)
    }

    /// Returns where callers may connect: this instance if it is ready, and
    /// the peers that say so and were heard just now.
    pub fn caller_addresses(&self, now_ms: u64) -> Vec<SocketAddr> {
        let members = self.members.borrow();
        let mut addresses: Vec<SocketAddr> = members
            .live(&self.settings.mesh, now_ms)
            .filter(|member| member.last_heartbeat.ready)
            .map(|member| member.last_heartbeat.caller_address)
            .collect();
        if self.is_ready() {
            addresses.push(self.machine().caller_address);
        }
        addresses.sort();
        addresses
    }

    /// Notes that an engine has read a shared part, here and for the peers.
    pub fn record_part(&self, part: u64, engine: &str, now_ms: u64) {
        let mut engines = self.engines.borrow_mut();
        let Some(belief) = engines.get_mut(engine) else {
            return;
        };
        let is_known = belief.has_cached(part, TOLD_AGAIN_MS, now_ms);
        belief.record_part(part, now_ms);
        if is_known {
            return;
        }
        let mut placed = self.placed.borrow_mut();
        placed.push_back((now_ms, part, short_hash(engine)));
        while placed.len() > MOST_PLACED {
            placed.pop_front();
        }
    }

    /// Returns the shared parts that peers should hear of.
    pub fn placed_lately(&self, now_ms: u64) -> Vec<(u64, u32)> {
        let placed = self.placed.borrow();
        let lately = placed
            .iter()
            .filter(|(placed_ms, _, _)| now_ms < placed_ms + PLACED_MS);
        lately.map(|(_, part, engine)| (*part, *engine)).collect()
    }
}
