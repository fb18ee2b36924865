use {
    crate::engine::{
        CacheEvents, CancelRequest, EngineState, GenerateEvent, GenerateRequest, Order, OrderReply,
    },
    derive_more::{Display, Error},
    std::net::SocketAddr,
};

/// Why a call to an upstream failed or its answer stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum SendError {
    /// No connection was made, so nothing ran.
    #[display("The upstream refused the connection; check that it runs.")]
    NotConnected,
    /// The connection was lost after the request may have been sent.
    #[display("The upstream's connection was lost; check its log for a crash.")]
    Lost,
    /// No answer arrived within the timeout.
    #[display("The upstream did not answer in time; check its load.")]
    TimedOut,
    /// The answer could not be parsed.
    #[display("The upstream's answer can't be read; check its version.")]
    Unreadable,
    /// The upstream refused the request and stated that nothing ran.
    #[display("The upstream refused the request with status {status}; nothing ran.")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Time for which the upstream wants no requests of this instance; 0 if it doesn't say.
        rest_ms: u64,
    },
}

/// Event stream of one attempt.
pub trait EngineEvents: Send {
    /// Waits up to `wait_ms` milliseconds for the next event. Returns `None` if
    /// none arrived.
    ///
    /// # Errors
    ///
    /// [`SendError::Lost`] if the stream ended, whether or not the engine
    /// closed it properly: a complete answer ends with an event of its own.
    fn wait(&mut self, wait_ms: u64) -> Result<Option<GenerateEvent>, SendError>;
}

/// Client of model engines.
pub trait Engines: Send + Sync + 'static {
    /// Event stream of one attempt.
    type Events: EngineEvents;

    /// Starts an attempt. Returns before the engine answers, so that a hung
    /// engine can't block the caller beyond the caller's own timeout.
    fn generate(&self, address: SocketAddr, request: &GenerateRequest) -> Self::Events;

    /// Stops an attempt. Returns at once, so that a hung engine does not delay
    /// the attempt that replaces it.
    fn cancel(&self, address: SocketAddr, request: &CancelRequest);

    /// Reads which model and weights the engine serves, and its load.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine can't be reached.
    fn state(&self, address: SocketAddr) -> Result<EngineState, SendError>;

    /// Reads the cache events starting at a sequence number.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine can't be reached.
    fn cache_events(
        &self,
        address: SocketAddr,
        from_sequence: u64,
    ) -> Result<CacheEvents, SendError>;

    /// Sends an order and returns the engine's answer.
    ///
    /// # Errors
    ///
    /// After [`SendError::Lost`] or [`SendError::TimedOut`] the order may or may
    /// not have taken effect.
    fn order(&self, address: SocketAddr, order: &Order) -> Result<OrderReply, SendError>;
}
