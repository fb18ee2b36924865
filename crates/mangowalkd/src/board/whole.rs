use {
    super::{
        BurnBoard, ConfigBoard, EngineBoard, Identity, Life, LimitBoard, PeerBoard, UpstreamBoard,
    },
    std::net::SocketAddr,
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
    /// Records in force.
    pub config: ConfigBoard,
    /// Engines as last seen.
    pub engines: EngineBoard,
    /// What each upstream can take, and the budget of retries.
    pub upstreams: UpstreamBoard,
    /// Other instances as last heard of.
    pub peers: PeerBoard,
    /// Tokens of every team.
    pub limits: LimitBoard,
    /// Phase of the process and its open requests.
    pub life: Life,
}

impl Board {
    /// Returns the board of an instance that starts.
    pub fn new(identity: Identity) -> Board {
        Board {
            operator_address: None,
            burn: BurnBoard::default(),
            identity,
            config: ConfigBoard::default(),
            engines: EngineBoard::default(),
            upstreams: UpstreamBoard::default(),
            peers: PeerBoard::default(),
            limits: LimitBoard::default(),
            life: Life::default(),
        }
    }
}
