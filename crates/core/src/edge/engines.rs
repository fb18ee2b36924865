use {
    crate::engine::{
        CacheEvents, CancelRequest, EngineState, GenerateEvent, GenerateRequest, Order, OrderReply,
    },
    derive_more::{Display, Error},
    std::net::SocketAddr,
};

/// Why an upstream's answer did not come or did not go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum SendError {
    /// No connection was made: nothing ran.
    #[display("The upstream refused the connection; check that it runs.")]
    NotConnected,
    /// The connection was lost after the request may have left.
    #[display("The upstream's connection was lost; check its log for a crash.")]
    Lost,
    /// Nothing came in time.
    #[display("The upstream did not answer in time; check its load.")]
    TimedOut,
    /// The answer can't be read.
    #[display("The upstream's answer can't be read; check its version.")]
    Unreadable,
    /// The upstream stated that it refused before anything ran.
    #[display("The upstream refused the request with status {status}; nothing ran.")]
    Refused {
        /// HTTP status.
        status: u16,
    },
}

/// Events of one attempt, as they come.
pub trait EngineEvents: Send {
    /// Waits for the next event, at most `wait_ms`; none if nothing came.
    ///
    /// # Errors
    ///
    /// [`SendError::Lost`] where the stream ended, whether or not the engine
    /// closed it properly: the final event is an event of its own.
    fn wait(&mut self, wait_ms: u64) -> Result<Option<GenerateEvent>, SendError>;
}

/// Model engines.
pub trait Engines: Send + Sync + 'static {
    /// Events of one attempt.
    type Events: EngineEvents;

    /// Starts an attempt. The call returns before the engine answers, so
    /// that a hung engine can't hold the caller past its own timeout.
    fn generate(&self, address: SocketAddr, request: &GenerateRequest) -> Self::Events;

    /// Stops an attempt. The call returns at once: an engine that hangs must
    /// not hold up the attempt that replaces it.
    fn cancel(&self, address: SocketAddr, request: &CancelRequest);

    /// Reads what the engine serves, and its load.
    ///
    /// # Errors
    ///
    /// Fails where the engine can't be reached.
    fn state(&self, address: SocketAddr) -> Result<EngineState, SendError>;

    /// Reads cache events from a sequence number on.
    ///
    /// # Errors
    ///
    /// Fails where the engine can't be reached.
    fn cache_events(
        &self,
        address: SocketAddr,
        from_sequence: u64,
    ) -> Result<CacheEvents, SendError>;

    /// Gives an order.
    ///
    /// # Errors
    ///
    /// [`SendError::Lost`] and [`SendError::TimedOut`] leave open whether the
    /// order took effect.
    fn order(&self, address: SocketAddr, order: &Order) -> Result<OrderReply, SendError>;
}
