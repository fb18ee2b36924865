use {
    super::{
        Counters, CrashParts, CrashTracker, Drain, EndWitnesses, GatewaySettings, PassedOn,
        ReloadOutcome, RetryBudgets, Shutdown, StoreAvailability, StreamOrigins, WaitingRooms,
        WakeUps, apply_reloadable,
    },
    crate::{bounded::HeldBytes, clock::now_ms, mesh::MeshTraffic},
    mangowalk_core::{
        admission::ArrivalRate,
        brittle::BrittleEngines,
        canary::{CanarySettings, FleetReports, OrderId, SoftwareTable},
        capacity::PaceReport,
        confirmation::Confirmations,
        engine_limit::{EngineLimitReport, EngineLimits},
        engine_notice::LeavingReport,
        kv_store::KvStores,
        mesh::{Bundle, MemberTable, OrderReport, PACKS_VERSION, RelayBudget},
        path::{PeerPaths, ServicePaths},
        pool::{
            EngineTable, MeanPromptLength, PrefillRate, ReplacedEngine, Turnover, rendezvous,
            short_hash,
        },
        routing::{Configuration, RouteTable},
        share::{ShareSettings, ShareTable},
        weights::{ChangeProgress, PublishedAt, WeightsHistory},
    },
    mangowalk_platform::{Freshness, MachineSettings},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, HashMap, VecDeque},
        rc::Rc,
        sync::Arc,
    },
    tokio::sync::{Mutex, Semaphore, watch},
};

/// Fraction of a team's permitted overdraft that all instances together may use
/// for a moment. The rest is left for instances that can't reach each other.
const SHARED_SLACK_FRACTION: f64 = 0.5;

/// The state that the tasks of an instance share. Tasks read and write it, and
/// don't call each other.
pub struct Instance {
    /// Settings of the machine, from the platform's settings file.
    machine: RefCell<Rc<MachineSettings>>,
    /// Settings of the router itself.
    pub settings: GatewaySettings,
    /// Wall clock in milliseconds at the start; distinguishes this start from
    /// earlier ones.
    pub incarnation: u64,
    /// Requests that were running on engines when these crashed.
    pub crashes: RefCell<CrashTracker>,
    /// Parts of prompts that crash engines.
    pub crash_parts: CrashParts,
    /// KV cache stores and their known contents.
    pub kv_stores: RefCell<KvStores>,
    /// Shared prompt parts that engines recently cached for this instance, oldest
    /// first: time in milliseconds, part and short hash of the engine's name.
    pub placements: RefCell<VecDeque<(u64, u64, u32)>>,
    /// Time of the start, on the clock of [`now_ms`].
    pub started_ms: u64,
    /// Routes of the configuration in force.
    pub routes: RefCell<Rc<RouteTable>>,
    /// Engines and their known state. Includes those whose entry is missing while
    /// their grace period lasts.
    pub engines: RefCell<EngineTable>,
    /// Arrivals of requests for engines whose memory bounds what they hold.
    pub arrivals: Cell<ArrivalRate>,
    /// Arrivals of those that are sent only within bounds on the engines' work.
    pub bounded_arrivals: Cell<ArrivalRate>,
    /// Engines that fall over when they reject too much.
    pub brittle: RefCell<BrittleEngines>,
    /// Limits that engines name on the requests of all instances.
    pub engine_limits: RefCell<EngineLimits>,
    /// Limits of engines that peers are still to be told.
    pub limit_reports: RefCell<Vec<EngineLimitReport>>,
    /// Engines that leave, of which peers are still to be told.
    pub leaving_reports: RefCell<Vec<LeavingReport>>,
    /// Engines at whose addresses others listen, of which peers are still to be told.
    pub replaced_reports: RefCell<Vec<ReplacedEngine>>,
    /// Paces of engines that peers are still to be told.
    pub pace_reports: RefCell<Vec<PaceReport>>,
    /// The paths of this instance to the engines of each service.
    pub service_paths: RefCell<ServicePaths>,
    /// Locks by service, each held while it is checked whether the path is lost.
    pub path_checks: RefCell<HashMap<String, Rc<Mutex<()>>>>,
    /// Calls that find out whether engines ended their answers themselves.
    pub end_witnesses: EndWitnesses,
    /// Paths of the peers to the engines, as they report them.
    pub peer_paths: RefCell<PeerPaths>,
    /// Requests that were passed on to peers.
    pub passed_on: PassedOn,
    /// When this instance exits if it is stopping, and how long requests take.
    pub shutdown: Shutdown,
    /// Where streams began.
    pub origins: StreamOrigins,
    /// Whether the engine list was read since the start.
    pub is_engine_list_read: Cell<bool>,
    /// Whether the store can be read, and when its last outage ended.
    pub store_availability: StoreAvailability,
    /// When this instance is known to have had the store's current state.
    pub confirmations: RefCell<Confirmations>,
    /// Software versions of the services, and the orders to replace them.
    pub software: RefCell<SoftwareTable>,
    /// What peers have reported on orders that aren't decided.
    pub canary_reports: RefCell<BTreeMap<OrderId, FleetReports>>,
    /// Estimated speed at which engines prefill prompts.
    pub prefill_rate: Cell<PrefillRate>,
    /// Rate at which this instance fills the engines' memory.
    pub turnover: Cell<Turnover>,
    /// Mean length of prompts.
    pub mean_prompt_length: Cell<MeanPromptLength>,
    /// Published versions of weights by model.
    pub weights_histories: RefCell<BTreeMap<String, WeightsHistory>>,
    /// This instance's share of each team's rate.
    pub shares: RefCell<ShareTable>,
    /// Retry budgets by service.
    pub retry_budgets: RetryBudgets,
    /// Known peers and their last heartbeats.
    pub members: RefCell<MemberTable>,
    /// Datagrams exchanged with peers.
    pub mesh_traffic: MeshTraffic,
    /// Heartbeats that are to be passed on to the own group.
    pub bundle: RefCell<Bundle>,
    /// Datagrams that may still be relayed for peers.
    pub relay_budget: Cell<RelayBudget>,
    /// Whether this instance holds the lease under which orders are sent.
    pub holds_lease: Cell<bool>,
    /// When this instance sent its last order, or an earlier holder may have sent one
    /// when this instance last tried to take the lease; `None` if there was neither since
    /// its start.
    pub last_order_ms: Cell<Option<u64>>,
    /// Sequence number of the last heartbeat of this instance.
    pub heartbeat_sequence: Cell<u64>,
    /// Orders of this instance that are planned, sent or just completed, as reported
    /// in heartbeats. Empty without the lease.
    pub order_reports: RefCell<Vec<OrderReport>>,
    /// Progress of the changes of weights that this instance orders, by model. Empty
    /// without the lease.
    pub weights_changes: RefCell<BTreeMap<String, ChangeProgress>>,
    /// Bytes that are held for callers and engines.
    pub held: Arc<HeldBytes>,
    /// Permit of the answer that is read while too much is held.
    pub over_bound: Semaphore,
    /// Metrics for operators.
    pub counters: Counters,
    /// Number of requests that were received and not yet answered in full.
    pub open_requests: Cell<usize>,
    /// Current phase of the shutdown.
    pub drain: watch::Receiver<Drain>,
    /// Notifications between tasks.
    pub wake_ups: WakeUps,
    /// Requests that wait for engines.
    pub waiting: WaitingRooms,
}

impl Instance {
    /// Returns the state of an instance that has just started: without a
    /// configuration, engines or peers.
    pub fn new(
        machine: MachineSettings,
        settings: GatewaySettings,
        incarnation: u64,
        drain: watch::Receiver<Drain>,
    ) -> Rc<Instance> {
        let members = MemberTable::new(&machine.name, &machine.domain);
        let shares = ShareTable::new(
            &machine.name,
            ShareSettings {
                slack_tokens: machine.quota_slack_tokens * SHARED_SLACK_FRACTION,
                ..ShareSettings::default()
            },
        );
        let relay_budget = RelayBudget::new(settings.mesh.max_relayed_per_s, now_ms());
        let software = SoftwareTable::new(machine.exposure, CanarySettings::default());
        let origins = StreamOrigins::new(machine.is_first_start);
        Rc::new(Instance {
            origins,
            software: RefCell::new(software),
            canary_reports: RefCell::default(),
            machine: RefCell::new(Rc::new(machine)),
            settings,
            incarnation,
            started_ms: now_ms(),
            crashes: RefCell::default(),
            crash_parts: CrashParts::default(),
            kv_stores: RefCell::default(),
            placements: RefCell::default(),
            routes: RefCell::default(),
            engines: RefCell::default(),
            arrivals: Cell::default(),
            bounded_arrivals: Cell::default(),
            brittle: RefCell::default(),
            engine_limits: RefCell::default(),
            limit_reports: RefCell::default(),
            leaving_reports: RefCell::default(),
            replaced_reports: RefCell::default(),
            pace_reports: RefCell::default(),
            service_paths: RefCell::default(),
            path_checks: RefCell::default(),
            end_witnesses: EndWitnesses::default(),
            peer_paths: RefCell::default(),
            passed_on: PassedOn::default(),
            shutdown: Shutdown::default(),
            is_engine_list_read: Cell::new(false),
            store_availability: StoreAvailability::default(),
            confirmations: RefCell::default(),
            prefill_rate: Cell::default(),
            turnover: Cell::default(),
            mean_prompt_length: Cell::default(),
            weights_histories: RefCell::default(),
            shares: RefCell::new(shares),
            retry_budgets: RetryBudgets::default(),
            members: RefCell::new(members),
            mesh_traffic: MeshTraffic::default(),
            bundle: RefCell::default(),
            relay_budget: Cell::new(relay_budget),
            holds_lease: Cell::new(false),
            last_order_ms: Cell::new(None),
            heartbeat_sequence: Cell::new(0),
            order_reports: RefCell::default(),
            weights_changes: RefCell::default(),
            held: Arc::default(),
            over_bound: Semaphore::new(1),
            counters: Counters::default(),
            open_requests: Cell::new(0),
            drain,
            wake_ups: WakeUps::default(),
            waiting: WaitingRooms::default(),
        })
    }

    /// Returns the machine settings in force.
    pub fn machine(&self) -> Rc<MachineSettings> {
        self.machine.borrow().clone()
    }

    /// Applies the settings that may change while the instance runs, and adds the
    /// seeds as candidate addresses. Returns what became of each changed field.
    pub fn reload(&self, new: &MachineSettings) -> ReloadOutcome {
        let (settings, outcome) = apply_reloadable(&self.machine(), new);
        *self.machine.borrow_mut() = Rc::new(settings);
        self.add_seed_candidates();
        outcome
    }

    /// Adds the addresses at which the platform expects peers as candidates, to
    /// which heartbeats are sent.
    pub fn add_seed_candidates(&self) {
        let machine = self.machine();
        let mut members = self.members.borrow_mut();
        for &seed in &machine.seeds {
            if seed != machine.peer_address {
                members.add_candidate(seed, now_ms());
            }
        }
    }

    /// Returns whether callers may be sent to this instance.
    pub fn is_ready(&self) -> bool {
        self.is_initialized() && *self.drain.borrow() == Drain::Serving
    }

    /// Returns whether the configuration, the engine list and the orders to replace
    /// software are known; at the first start of the fleet, when no caller waits yet, its
    /// other instances as well, so that retries can be divided among all.
    pub fn is_initialized(&self) -> bool {
        let software = self.software.borrow();
        let knows_rollouts = software.limits().is_none() || software.view_revision().is_some();
        let knows_sharers =
            !self.machine().is_first_start || self.retry_budgets.sharers.borrow().is_fleet_known();
        self.routes.borrow().version() > 0
            && self.is_engine_list_read.get()
            && knows_rollouts
            && knows_sharers
    }

    /// Puts a configuration in force if it is newer than the current one.
    ///
    /// A stale read or a slow peer may deliver an older one, and applying that
    /// would accept a withdrawn API key again.
    pub fn apply_configuration(
        &self,
        configuration: Configuration,
        source: &'static str,
        now_ms: u64,
    ) {
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
        self.wake_ups.routes.notify_waiters();
        self.announce_store_news(now_ms);
    }

    /// Records a published version of weights. Returns whether it is newer than
    /// all known ones.
    pub fn record_published_weights(
        &self,
        model: &str,
        version: u64,
        at: PublishedAt,
        source: &'static str,
    ) -> bool {
        let mut histories = self.weights_histories.borrow_mut();
        let history = histories.entry(model.to_owned()).or_default();
        let before = history.newest();
        if !history.insert(version, at, &self.settings.weights, now_ms()) {
            return false;
        }
        log::info!(
            "event=weights_named model={model} version={version} before={before} source={source}"
        );
        self.wake_ups.orders.notify_one();
        self.announce_store_news(now_ms());
        true
    }

    /// Records until when earlier holders of the lease may have sent orders, which this
    /// instance reports like an order of its own.
    pub fn record_earlier_orders(&self, no_orders_since_ms: u64) {
        let last_ms = self.last_order_ms.get().unwrap_or(0);
        self.last_order_ms
            .set(Some(last_ms.max(no_orders_since_ms)));
    }

    /// Sends a heartbeat at once because the store has reported a change. In a large
    /// fleet only the instances that read current state do: all others hear of the
    /// change at about the same time, and would tell it to each other.
    pub fn announce_store_news(&self, now_ms: u64) {
        let is_large = self.members.borrow().uses_packs(&self.settings.mesh);
        if !is_large || self.freshness(now_ms) == Freshness::Current {
            self.wake_ups.heartbeat.notify_one();
        }
    }

    /// Updates which peers and how many instances may spend from teams' rates.
    pub fn update_share_peers(&self, now_ms: u64) {
        let members = self.members.borrow();
        let mesh = &self.settings.mesh;
        let mut shares = self.shares.borrow_mut();
        shares.set_expected_instances(members.expected() + 1);
        shares.set_report_interval(members.report_interval_ms(mesh));
        let liveness = members.liveness(mesh, now_ms);
        shares.update_peers(|name| liveness.of(name));
    }

    /// Returns whether heartbeats hold the spending of all teams and not only what
    /// changed: for a peer that has just started and can't know it, and for those that
    /// don't know the shorter form. An instance that doesn't know the levels itself has
    /// nothing to tell.
    pub fn reports_all_teams(&self, now_ms: u64) -> bool {
        let members = self.members.borrow();
        if !members.all_understand(PACKS_VERSION) {
            return true;
        }
        let mesh = &self.settings.mesh;
        let mut receivers = members.direct_receivers(mesh, now_ms);
        let is_wanted = receivers.any(|member| !member.last_heartbeat.knows_rates);
        is_wanted && self.shares.borrow().knows_spending(now_ms)
    }

    /// Returns the number of instances that may be serving, including this one.
    pub fn instance_count(&self) -> usize {
        self.members.borrow().iter().count() + 1
    }

    /// Returns the place of this instance in an order of all live ones that depends on the
    /// engine only, so that all compute the same one.
    pub fn rank_at(&self, engine: &str, now_ms: u64) -> usize {
        let members = self.members.borrow();
        let engine = u64::from(short_hash(engine));
        let own = rendezvous(engine, &self.machine().name);
        let live = members.live(&self.settings.mesh, now_ms);
        live.filter(|member| rendezvous(engine, &member.last_heartbeat.name) > own)
            .count()
    }

    /// Returns whether a live peer has a newer configuration.
    pub fn is_behind(&self, now_ms: u64) -> bool {
        let own = self.routes.borrow().version();
        let members = self.members.borrow();
        let mut live = members.live(&self.settings.mesh, now_ms);
        live.any(|member| member.last_heartbeat.configuration_version > own)
    }
}
