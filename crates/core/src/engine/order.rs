use serde::{Deserialize, Serialize};

/// An order to an engine to load weights, `POST /order`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the lease under which the order is sent.
    pub fencing: u64,
    /// Model to load.
    pub model: String,
    /// Weights version to load.
    pub version: String,
}

/// An engine's answer to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "type")]
pub enum OrderReply {
    /// The engine started loading, or already serves that version.
    Accepted,
    /// The fencing number is lower than one received before.
    OldFencing {
        /// Highest fencing number received.
        highest: u64,
    },
    /// The weights could not be loaded.
    Refused {
        /// Reason, shown in the record's status.
        reason: String,
    },
}

/// Body of a request to stop one attempt, `POST /cancel`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelRequest {
    /// Id of the request.
    pub request_id: String,
    /// Number of the attempt to stop.
    pub attempt: u32,
}
