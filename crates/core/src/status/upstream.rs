use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// An upstream as one instance sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Name of the record.
    pub name: String,
    /// Address.
    pub address: SocketAddr,
    /// Model or service.
    pub serves: String,
    /// Whether it gets no new work.
    pub departing: bool,
    /// What it does, in one word: `serving`, `loading`, `silent`, or `unseen`
    /// where this instance never heard of it.
    pub state: String,
    /// Weights version that it last reported.
    pub version: Option<String>,
    /// Attempts and calls that this instance runs on it.
    pub in_flight: u32,
    /// Requests that run on it, as it last reported.
    pub running: u32,
    /// Requests that wait in it, as it last reported.
    pub waiting: u32,
}
