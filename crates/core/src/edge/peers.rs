use {
    crate::peer::{PeerReply, PeerRequest},
    derive_more::{Display, Error},
    std::net::SocketAddr,
};

/// Why a request to a peer failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum PeerError {
    /// No answer arrived within the timeout; the request may have taken effect.
    #[display("The peer did not answer in time; check that it runs and is reachable.")]
    NoAnswer,
    /// The answer could not be parsed.
    #[display("The peer's answer can't be read; check that both run compatible versions.")]
    Unreadable,
}

/// Client of other instances of the router.
pub trait Peers: Send + Sync + 'static {
    /// Sends a request to a peer and waits up to `timeout_ms` milliseconds for
    /// its answer.
    ///
    /// # Errors
    ///
    /// After [`PeerError::NoAnswer`] the request may still have taken effect.
    fn ask(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
        timeout_ms: u64,
    ) -> Result<PeerReply, PeerError>;
}
