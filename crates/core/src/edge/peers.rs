use {
    crate::peer::{PeerReply, PeerRequest},
    derive_more::{Display, Error},
    std::net::SocketAddr,
};

/// Why a peer gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum PeerError {
    /// Nothing came in time; the request may have taken effect.
    #[display("The peer did not answer in time; check that it runs and is reachable.")]
    NoAnswer,
    /// The answer can't be read.
    #[display("The peer's answer can't be read; check that both run compatible versions.")]
    Unreadable,
}

/// Other instances of the router.
pub trait Peers: Send + Sync + 'static {
    /// Asks a peer and waits for its answer.
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
