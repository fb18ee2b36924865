use {
    super::Heartbeat,
    serde::{Deserialize, Serialize},
};

/// How a heartbeat came.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Delivery {
    /// From its sender, for this instance alone.
    Direct,
    /// From its sender, to be passed on within the failure domain.
    #[serde(rename = "ToPassOn")]
    ToRelay,
    /// By way of another instance of the failure domain.
    #[serde(rename = "PassedOn")]
    Relayed,
}

/// What travels in one datagram between instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MeshMessage {
    /// How it comes.
    #[serde(rename = "way")]
    pub delivery: Delivery,
    /// What its sender tells.
    pub heartbeat: Heartbeat,
}
