use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Status of an upstream, as one instance sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Name of the upstream's record.
    pub name: String,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Name of the model or service that it serves.
    pub serves: String,
    /// Whether it is departing and gets no new work.
    pub departing: bool,
    /// State in one word. Engines are `serving`, `loading`, `silent` or
    /// `unseen`; `unseen` means that this instance has received nothing about
    /// the engine. Plain services report no state and are always `service`.
    pub state: String,
    /// Last reported weights version, if any.
    pub version: Option<String>,
    /// Number of attempts and calls that this instance runs on it.
    pub in_flight: u32,
    /// Last reported number of running requests.
    pub running: u32,
    /// Last reported number of queued requests.
    pub waiting: u32,
}
