use {
    super::{
        BurnBoard, ClaimBoard, ConfigBoard, DispatchBoard, DispatchSettings, EngineBoard, Identity,
        Life, LimitBoard, PeerBoard, PoisonBoard, UpstreamBoard,
    },
    crate::edge::Traffic,
    mangowalk_core::{config::View, placement::EngineSpec},
    std::{net::SocketAddr, sync::Arc},
};

/// The state of one instance.
#[derive(Debug)]
pub struct Board {
    /// Address towards operators, if there is one.
    pub operator_address: Option<SocketAddr>,
    /// What became of every team's requests.
    pub burn: BurnBoard,
    /// Who the instance is.
    pub identity: Identity,
    /// Claims whose outcome is still to be written.
    pub claims: ClaimBoard,
    /// Requests that crash upstreams.
    pub poison: PoisonBoard,
    /// Records in force.
    pub config: ConfigBoard,
    /// Engines as last seen.
    pub engines: EngineBoard,
    /// Admission, queue and placement.
    pub dispatch: DispatchBoard,
    /// What each upstream can take, and the budget of retries.
    pub upstreams: UpstreamBoard,
    /// Other instances as last heard of.
    pub peers: PeerBoard,
    /// Tokens of every team.
    pub limits: LimitBoard,
    /// What is spent on control.
    pub traffic: Arc<Traffic>,
    /// Phase of the process and its open requests.
    pub life: Life,
}

impl Board {
    /// Returns the board of an instance that starts.
    pub fn new(identity: Identity, settings: DispatchSettings) -> Board {
        let upstreams = UpstreamBoard::default();
        Board {
            limits: LimitBoard::new(&identity),
            claims: ClaimBoard::default(),
            poison: PoisonBoard::default(),
            operator_address: None,
            burn: BurnBoard::default(),
            identity,
            config: ConfigBoard::default(),
            engines: EngineBoard::default(),
            dispatch: DispatchBoard::new(settings, upstreams.clone()),
            upstreams,
            peers: PeerBoard::default(),
            traffic: Arc::default(),
            life: Life::default(),
        }
    }

    /// Tells placement of the engines in force, once for each view.
    ///
    /// A request asks for this before it is placed. Were only the poll to tell
    /// placement, requests in between would be sent to an engine that drains
    /// or departs, and refused when that is found out.
    pub fn take_engines(&self, view: &Arc<View>) {
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
