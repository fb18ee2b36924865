/// Whether a request of a route may be sent to an upstream again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once, whatever its result.
    AtMostOnce,
    /// The answer is a stream of events. A request that ran may not run again.
    Stream,
    /// The answer is a stream of events that may be resumed on another engine
    /// after the last event that the caller received.
    ResumableStream,
}

impl RetryPolicy {
    /// Returns whether a request that may have run may be sent again.
    pub fn may_run_again(self) -> bool {
        matches!(self, RetryPolicy::Idempotent | RetryPolicy::ResumableStream)
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RetryPolicy::Stream | RetryPolicy::ResumableStream)
    }
}
