use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// Phase of an instance's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It has no records yet.
    #[display("starting")]
    Starting,
    /// It serves.
    #[display("ready")]
    Ready,
    /// It ends what is open and sends callers elsewhere.
    #[display("departing")]
    Departing,
}
