use {mangowalk_core::engine::Usage, std::io};

/// Receives an answer, token by token.
pub trait AnswerSink {
    /// Writes one token.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected or can't be written to.
    fn token(&mut self, text: &str) -> io::Result<()>;

    /// Checks whether the caller is still connected.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected.
    fn check_caller(&mut self) -> io::Result<()>;

    /// Called while nothing is there to be written. Checks whether the caller is
    /// still connected.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected or can't be written to.
    fn silence(&mut self, now_ms: u64) -> io::Result<()>;
}

/// How a complete answer ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinishedAnswer {
    /// `stop` or `length`.
    pub finish_reason: String,
    /// Token counts over all attempts.
    pub usage: Usage,
    /// Name of the engine that finished it.
    pub engine: String,
}
