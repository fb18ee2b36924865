use {
    super::{
        DispatchSettings, Identity, Lifecycle, SharedClaims, SharedConfig, SharedDispatcher,
        SharedEngines, SharedLimits, SharedOutcomeCounts, SharedPeers, SharedPoison,
        SharedUpstreams,
    },
    crate::edge::Traffic,
    mangowalk_core::{config::View, placement::EngineSpec},
    std::{net::SocketAddr, sync::Arc},
};

/// The state of one instance.
#[derive(Debug)]
pub struct SharedState {
    /// Address on which the instance listens to operators; `None` if it does
    /// not.
    pub operator_address: Option<SocketAddr>,
    /// Counts of the outcomes of every team's requests.
    pub burn: SharedOutcomeCounts,
    /// Identity of the instance.
    pub identity: Identity,
    /// Claim writes that are still to be done, and the current epoch.
    pub claims: SharedClaims,
    /// Crashes of upstreams, attributed to requests.
    pub poison: SharedPoison,
    /// Configuration records in force.
    pub config: SharedConfig,
    /// The last known state of each engine.
    pub engines: SharedEngines,
    /// Admission, queue and placement.
    pub dispatch: SharedDispatcher,
    /// Health of each upstream, and the retry budget.
    pub upstreams: SharedUpstreams,
    /// The known other instances.
    pub peers: SharedPeers,
    /// Tokens and slots of the teams' rates.
    pub limits: SharedLimits,
    /// Control traffic of this instance.
    pub traffic: Arc<Traffic>,
    /// Phase of the process, and the number of its open requests.
    pub lifecycle: Lifecycle,
}

impl SharedState {
    /// Returns the state of an instance that starts.
    pub fn new(identity: Identity, settings: DispatchSettings) -> SharedState {
        let upstreams = SharedUpstreams::default();
        SharedState {
            limits: SharedLimits::new(&identity),
            claims: SharedClaims::default(),
            poison: SharedPoison::default(),
            operator_address: None,
            burn: SharedOutcomeCounts::default(),
            identity,
            config: SharedConfig::default(),
            engines: SharedEngines::default(),
            dispatch: SharedDispatcher::new(settings, upstreams.clone()),
            upstreams,
            peers: SharedPeers::default(),
            traffic: Arc::default(),
            lifecycle: Lifecycle::default(),
        }
    }

    /// Passes the engines of a view to placement, once for each view.
    ///
    /// Every request calls this before it is placed, not only the poll of the
    /// engines. Otherwise requests between two polls would be placed on an
    /// engine that drains or departs, and refused afterwards.
    pub fn apply_engines(&self, view: &Arc<View>) {
        if !self.dispatch.is_new_view(view) {
            return;
        }
        let specs: Vec<EngineSpec> = view
            .engines
            .values()
            .map(|e| EngineSpec {
                name: e.name.clone(),
                model: e.model.clone(),
                in_same_domain: e.failure_domain == self.identity.failure_domain,
                departing: e.departing || view.draining.contains(&e.name),
            })
            .collect();
        self.dispatch.set_engines(&specs, view);
    }
}
