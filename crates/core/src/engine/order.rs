use serde::{Deserialize, Serialize};

/// An order to an engine, `POST /order`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the lease under which the order is given.
    pub fencing: u64,
    /// Model to load.
    pub model: String,
    /// Weights version to load.
    pub version: String,
}

/// The answer to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "type")]
pub enum OrderReply {
    /// The engine started to load, or serves that version already.
    Accepted,
    /// The fencing number is older than one seen before.
    OldFencing {
        /// Highest number seen.
        highest: u64,
    },
    /// The weights could not be loaded.
    Refused {
        /// Why, for the record's status.
        reason: String,
    },
}

/// Stops one attempt, `POST /cancel`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelRequest {
    /// Identity of the request.
    pub request_id: String,
    /// Attempt to stop.
    pub attempt: u32,
}
