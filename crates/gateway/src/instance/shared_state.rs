use {
    super::{
        Counters, CrashTracker, Drain, GatewaySettings, PassedOn, ReloadOutcome, StoreAvailability,
        apply_reloadable,
    },
    crate::{clock::now_ms, mesh::MeshTraffic},
    mangowalk_core::{
        brittle::BrittleEngines,
        canary::{CanarySettings, FleetReports, OrderId, SoftwareTable},
        kv_store::KvStores,
        mesh::{Bundle, MemberTable, OrderReport, PACKS_VERSION, RelayBudget},
        path::{PeerPaths, ServicePaths},
        pool::{EngineTable, MeanPromptLength, PrefillRate, Turnover, rendezvous, short_hash},
        retries::FleetRetryBudget,
        routing::{Configuration, RouteTable},
        share::{ShareSettings, ShareTable},
        weights::{PublishedAt, WeightsHistory},
    },
    mangowalk_platform::{Freshness, MachineSettings},
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
        net::SocketAddr,
        rc::Rc,
    },
    tokio::sync::{Mutex, Notify, watch},
};

/// Notifications between the tasks of an instance.
#[derive(Debug, Default)]
pub struct WakeUps {
    /// Sent when a peer has a newer configuration than this instance.
    pub configuration: Notify,
    /// Sent when newer weights were published, the engine list changed, or an
    /// engine's answer to a report call or an order arrived.
    pub orders: Notify,
    /// Sent when an engine was found to be silent.
    pub silent_engine: Notify,
    /// Sent when a heartbeat should be sent at once.
    pub heartbeat: Notify,
    /// Sent when heartbeats were gathered to be passed on to the own group.
    pub bundle: Notify,
    /// Sent when the path to the engines of a service was lost or is back, or an engine
    /// was found to be silent.
    pub path: Notify,
}

/// Time for which a placement is reported to peers: two heartbeats, as one may be
/// lost.
const PLACEMENT_REPORT_MS: u64 = 450;

/// Fraction of a team's permitted overdraft that all instances together may use
/// for a moment. The rest is left for instances that can't reach each other.
const SHARED_SLACK_FRACTION: f64 = 0.5;

/// Time within which a part at an engine isn't reported again. The first parts of
/// prompts are used many times a second.
const PLACEMENT_REPEAT_MS: u64 = 1_000;

/// Maximum number of placements in one heartbeat, so that it fits one datagram.
const MAX_PLACEMENTS: usize = 48;

/// Time after the start in which an instance hears of its peers, and of those of a large
/// fleet.
const SETTLING_MS: u64 = 1_000;
const LARGE_FLEET_SETTLING_MS: u64 = 3_000;

/// Interval at which an instance asks for changes of the engine list, for each instance
/// of a large fleet: all together make 500 calls a second.
const POLL_MS_PER_INSTANCE: u64 = 2;

/// Maximum of that interval. New engines get no work for as long.
const MAX_POLL_INTERVAL_MS: u64 = 2_000;

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
    /// Engines that fall over when they reject too much.
    pub brittle: RefCell<BrittleEngines>,
    /// The paths of this instance to the engines of each service.
    pub service_paths: RefCell<ServicePaths>,
    /// Locks by service, each held while it is checked whether the path is lost.
    pub path_checks: RefCell<HashMap<String, Rc<Mutex<()>>>>,
    /// Paths of the peers to the engines, as they report them.
    pub peer_paths: RefCell<PeerPaths>,
    /// Requests that were passed on to peers.
    pub passed_on: PassedOn,
    /// Whether the engine list was read since the start.
    pub is_engine_list_read: Cell<bool>,
    /// Whether the store can be read, and when its last outage ended.
    pub store_availability: StoreAvailability,
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
    pub retry_budgets: RefCell<HashMap<String, FleetRetryBudget>>,
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
    /// When this instance sent its last order; `None` if it sent none since its
    /// start.
    pub last_order_ms: Cell<Option<u64>>,
    /// Orders of this instance that are planned, sent or just completed, as reported
    /// in heartbeats. Empty without the lease.
    pub order_reports: RefCell<Vec<OrderReport>>,
    /// Metrics for operators.
    pub counters: Counters,
    /// Number of requests that were received and not yet answered in full.
    pub open_requests: Cell<usize>,
    /// Current phase of the shutdown.
    pub drain: watch::Receiver<Drain>,
    /// Notifications between tasks.
    pub wake_ups: WakeUps,
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
        Rc::new(Instance {
            software: RefCell::new(software),
            canary_reports: RefCell::default(),
            machine: RefCell::new(Rc::new(machine)),
            settings,
            incarnation,
            started_ms: now_ms(),
            crashes: RefCell::default(),
            kv_stores: RefCell::default(),
            placements: RefCell::default(),
            routes: RefCell::default(),
            engines: RefCell::default(),
            brittle: RefCell::default(),
            service_paths: RefCell::default(),
            path_checks: RefCell::default(),
            peer_paths: RefCell::default(),
            passed_on: PassedOn::default(),
            is_engine_list_read: Cell::new(false),
            store_availability: StoreAvailability::default(),
            prefill_rate: Cell::default(),
            turnover: Cell::default(),
            mean_prompt_length: Cell::default(),
            weights_histories: RefCell::default(),
            shares: RefCell::new(shares),
            retry_budgets: RefCell::default(),
            members: RefCell::new(members),
            mesh_traffic: MeshTraffic::default(),
            bundle: RefCell::default(),
            relay_budget: Cell::new(relay_budget),
            holds_lease: Cell::new(false),
            last_order_ms: Cell::new(None),
            order_reports: RefCell::default(),
            counters: Counters::default(),
            open_requests: Cell::new(0),
            drain,
            wake_ups: WakeUps::default(),
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
    /// software are known.
    pub fn is_initialized(&self) -> bool {
        let software = self.software.borrow();
        let knows_rollouts = software.limits().is_none() || software.view_revision().is_some();
        self.routes.borrow().version() > 0 && self.is_engine_list_read.get() && knows_rollouts
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

    /// Returns the freshness that this instance requires of its reads of the
    /// store.
    ///
    /// The first [`GatewaySettings::current_readers`] live instances with access to
    /// the store, by name, read current state. An instance that receives no
    /// heartbeats from instances with earlier names counts as the first, so one
    /// that is isolated doesn't depend on reports of peers.
    ///
    /// An instance that has just started doesn't know yet who these are. If all read
    /// current state until they hear of each other, the calls would cost as much as those
    /// of the readers for the rest of the day.
    pub fn freshness(&self, now_ms: u64) -> Freshness {
        let is_reader = self.readers_before(now_ms) < self.settings.current_readers;
        match is_reader && self.settles_in_ms(now_ms) == 0 {
            true => Freshness::Current,
            false => Freshness::MayLag,
        }
    }

    /// Returns the time until this instance knows which peers read current state.
    pub fn settles_in_ms(&self, now_ms: u64) -> u64 {
        let settling_ms = match self.is_large_fleet() {
            true => LARGE_FLEET_SETTLING_MS,
            false => SETTLING_MS,
        };
        (self.started_ms + settling_ms).saturating_sub(now_ms)
    }

    /// Returns whether the fleet is so large that its instances know a part of the
    /// engines each, and of most peers what packs of heartbeats tell.
    pub fn is_large_fleet(&self) -> bool {
        let members = self.members.borrow();
        members.iter().count() > self.settings.mesh.max_relayed_peers
    }

    /// Returns the time after a peer's news of a configuration in which this
    /// instance's own watch is expected to report it. In a large fleet it is spread:
    /// a reading of all instances at once fills the store's link.
    pub fn configuration_lead_ms(&self) -> u64 {
        let lead_ms = self.settings.peer_lead_ms;
        match self.is_large_fleet() {
            true => lead_ms + rand::random_range(0..self.instance_count() as u64),
            false => lead_ms,
        }
    }

    /// Returns the interval at which this instance asks for changes of the engine list;
    /// `None` if it waits for each at the store. If all instances of a large fleet did,
    /// each change would be answered to a thousand waiting calls. Those that read
    /// current state report departures to the others.
    pub fn engine_poll_interval_ms(&self, now_ms: u64) -> Option<u64> {
        if !self.is_large_fleet() || self.freshness(now_ms) == Freshness::Current {
            return None;
        }
        let by_count_ms = self.instance_count() as u64 * POLL_MS_PER_INSTANCE;
        Some(by_count_ms.clamp(self.settings.batch_ms, MAX_POLL_INTERVAL_MS))
    }

    /// Returns the names of the services to which requests are routed.
    pub fn routed_services(&self) -> BTreeSet<String> {
        let routes = self.routes.borrow();
        let routes = routes.configuration().routes.iter();
        let shares = routes.flat_map(|route| &route.services);
        shares.map(|share| share.service.clone()).collect()
    }

    /// Returns the number of live instances with access to the store whose names sort
    /// before that of this one.
    pub fn readers_before(&self, now_ms: u64) -> usize {
        let members = self.members.borrow();
        let own = &self.machine().name;
        members.count_live_before(own, |peer| peer.has_store, &self.settings.mesh, now_ms)
    }

    /// Returns whether a live peer has a newer configuration.
    pub fn is_behind(&self, now_ms: u64) -> bool {
        let own = self.routes.borrow().version();
        let members = self.members.borrow();
        let mut live = members.live(&self.settings.mesh, now_ms);
        live.any(|member| member.last_heartbeat.configuration_version > own)
    }

    /// Returns the sorted addresses at which callers may connect: those of live
    /// peers that report to be ready, and of this instance if it is ready.
    ///
    /// Instances that are cut off from all services are left out, unless all are.
    pub fn caller_addresses(&self, now_ms: u64) -> Vec<SocketAddr> {
        let services = self.routed_services();
        let members = self.members.borrow();
        let peer_paths = self.peer_paths.borrow();
        let mut ready: Vec<(SocketAddr, bool)> = members
            .live(&self.settings.mesh, now_ms)
            .map(|member| &member.last_heartbeat)
            .filter(|heartbeat| heartbeat.ready)
            .map(|heartbeat| {
                let name = &heartbeat.name;
                let mut services = services.iter();
                let is_cut = services.all(|service| peer_paths.is_cut(name, service, now_ms));
                (heartbeat.caller_address, is_cut)
            })
            .collect();
        if self.is_ready() {
            let is_cut = self.cut_services(now_ms).len() == services.len();
            ready.push((self.machine().caller_address, is_cut));
        }
        let are_all_cut = ready.iter().all(|(_, is_cut)| *is_cut);
        let listed = ready
            .into_iter()
            .filter(|(_, is_cut)| are_all_cut || !is_cut);
        let mut addresses: Vec<SocketAddr> = listed.map(|(address, _)| address).collect();
        addresses.sort();
        addresses
    }

    /// Returns whether the path to the engines of all routed services is lost.
    pub fn reaches_no_engine(&self) -> bool {
        let paths = self.service_paths.borrow();
        let services = self.routed_services();
        !services.is_empty() && services.iter().all(|service| paths.is_lost(service))
    }

    /// Returns whether this instance reaches none or less than half of the engines of a
    /// service.
    pub fn is_cut_off(&self, service: &str, now_ms: u64) -> bool {
        let is_lost = self.service_paths.borrow().is_lost(service);
        is_lost || self.engines.borrow().is_mostly_silent(service, now_ms)
    }

    /// Returns the routed services of whose engines this instance reaches none or less
    /// than half.
    pub fn cut_services(&self, now_ms: u64) -> Vec<String> {
        let mut services = self.routed_services();
        services.retain(|service| self.is_cut_off(service, now_ms));
        services.into_iter().collect()
    }

    /// Returns the engines that peers should take for silent. Those of services from
    /// which this instance is cut off may be well.
    pub fn reported_silent_engines(&self, now_ms: u64) -> Vec<String> {
        let cut_services = self.cut_services(now_ms);
        let engines = self.engines.borrow();
        let silent = engines
            .silent_engines()
            .map(|engine| &engine.entry)
            .filter(|entry| !cut_services.contains(&entry.service));
        silent.map(|entry| entry.incarnation.id.clone()).collect()
    }

    /// Records that an engine has cached a shared part, and queues the placement
    /// for the peers unless it was reported recently.
    pub fn record_part(&self, part: u64, engine: &str, now_ms: u64) {
        let mut engines = self.engines.borrow_mut();
        let Some(known_engine) = engines.get_mut(engine) else {
            return;
        };
        let was_reported = known_engine.has_cached(part, PLACEMENT_REPEAT_MS, now_ms);
        known_engine.record_part(part, now_ms);
        if was_reported {
            return;
        }
        let mut placements = self.placements.borrow_mut();
        placements.push_back((now_ms, part, short_hash(engine)));
        while placements.len() > MAX_PLACEMENTS {
            placements.pop_front();
        }
    }

    /// Returns the shared parts to report to peers, each with the short hash of its
    /// engine's name.
    pub fn recent_placements(&self, now_ms: u64) -> Vec<(u64, u32)> {
        let placements = self.placements.borrow();
        let recent = placements
            .iter()
            .filter(|(recorded_ms, _, _)| now_ms < recorded_ms + PLACEMENT_REPORT_MS);
        recent.map(|(_, part, engine)| (*part, *engine)).collect()
    }
}
