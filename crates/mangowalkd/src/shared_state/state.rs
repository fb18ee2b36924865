use {
    super::{
        DispatchSettings, Identity, Lifecycle, SharedBurn, SharedClaims, SharedConfig,
        SharedDispatcher, SharedEngines, SharedLimits, SharedPeers, SharedPoison, SharedUpstreams,
    },
    crate::edge::Traffic,
    mangowalk_core::{config::View, placement::EngineSpec},
    std::{net::SocketAddr, sync::Arc},
};

/// The state of one instance.
#[derive(Debug)]
pub struct SharedState {
    /// Address towards operators, if there is one.
    pub operator_address: Option<SocketAddr>,
    /// What became of every team's requests.
    pub burn: SharedBurn,
    /// Who the instance is.
    pub identity: Identity,
    /// Claims whose outcome is still to be written.
    pub claims: SharedClaims,
    /// Requests that crash upstreams.
    pub poison: SharedPoison,
    /// Records in force.
    pub config: SharedConfig,
    /// Engines as last seen.
    pub engines: SharedEngines,
    /// Admission, queue and placement.
    pub dispatch: SharedDispatcher,
    /// What each upstream can take, and the budget of retries.
    pub upstreams: SharedUpstreams,
    /// Other instances as last heard of.
    pub peers: SharedPeers,
    /// Tokens of every team.
    pub limits: SharedLimits,
    /// What is spent on control.
    pub traffic: Arc<Traffic>,
    /// Phase of the process and its open requests.
    pub lifecycle: Lifecycle,
}

impl SharedState {
    /// Returns the board of an instance that starts.
    pub fn new(identity: Identity, settings: DispatchSettings) -> SharedState {
        let upstreams = SharedUpstreams::default();
        SharedState {
            limits: SharedLimits::new(&identity),
            claims: SharedClaims::default(),
            poison: SharedPoison::default(),
            operator_address: None,
            burn: SharedBurn::default(),
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

    /// Tells placement of the engines in force, once for each view.
    ///
    /// A request asks for this before it is placed. Were only the poll to tell
    /// placement, requests in between would be sent to an engine that drains
    /// or departs, and refused when that is found out.
    pub fn apply_engines(&self, view: &Arc<View>) {
        if !self.dispatch.is_new(view) {
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
