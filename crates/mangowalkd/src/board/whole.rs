use super::{ConfigBoard, EngineBoard, Identity, Life, LimitBoard, PeerBoard};

/// The state of one instance.
#[derive(Debug)]
pub struct Board {
    /// Who the instance is.
    pub identity: Identity,
    /// Records in force.
    pub config: ConfigBoard,
    /// Engines as last seen.
    pub engines: EngineBoard,
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
            limits: LimitBoard::new(&identity),
            identity,
            config: ConfigBoard::default(),
            engines: EngineBoard::default(),
            peers: PeerBoard::default(),
            life: Life::default(),
        }
    }
}
