use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// Phase of an instance's life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The instance has no records yet.
    #[display("starting")]
    Starting,
    /// The instance serves requests.
    #[display("ready")]
    Ready,
    /// The instance finishes open requests and sends callers to other instances.
    #[display("departing")]
    Departing,
}
