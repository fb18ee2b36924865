use {
    super::Heartbeat,
    serde::{Deserialize, Serialize},
};

/// How a heartbeat reaches its receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Delivery {
    /// Sent by its author to this receiver only.
    Direct,
    /// Sent by its author to a receiver that relays it within its failure
    /// domain.
    #[serde(rename = "ToPassOn")]
    ToRelay,
    /// Relayed by another instance of the receiver's failure domain.
    #[serde(rename = "PassedOn")]
    Relayed,
}

/// Content of one datagram between instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MeshMessage {
    /// How the heartbeat reaches its receiver.
    #[serde(rename = "way")]
    pub delivery: Delivery,
    /// State of the instance that wrote the message.
    pub heartbeat: Heartbeat,
}
