use {mangowalk_core::engine::Usage, std::io};

/// Where an answer goes, token by token.
pub trait AnswerSink {
    /// Takes one token. An error means that the caller has gone.
    ///
    /// # Errors
    ///
    /// Fails where the caller can't be written to.
    fn token(&mut self, text: &str) -> io::Result<()>;

    /// Is told that the engine has been silent for a while. A sink that can
    /// find out whether its caller is still there does so.
    ///
    /// # Errors
    ///
    /// Fails where the caller can't be written to.
    fn silence(&mut self) -> io::Result<()>;
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
