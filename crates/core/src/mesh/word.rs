use {
    super::Heartbeat,
    serde::{Deserialize, Serialize},
};

/// How a heartbeat came.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Way {
    /// From its sender, for this instance alone.
    Direct,
    /// From its sender, to be passed on within the failure domain.
    ToPassOn,
    /// By way of another instance of the failure domain.
    PassedOn,
}

/// What travels in one datagram between instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Word {
    /// How it comes.
    pub way: Way,
    /// What its sender tells.
    pub heartbeat: Heartbeat,
}
