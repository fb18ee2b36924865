/// What may be repeated of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// A request may run more than once.
    Idempotent,
    /// A request runs once at most, whatever its answer.
    AtMostOnce,
    /// The answer is a stream of events; what ran once may not run again.
    Stream,
    /// The answer is a stream of events that may go on at another engine
    /// behind the last event that the caller has.
    ResumableStream,
}

impl RepeatPolicy {
    /// Returns whether a request that may have run may be sent again.
    pub fn may_run_again(self) -> bool {
        matches!(
            self,
            RepeatPolicy::Idempotent | RepeatPolicy::ResumableStream
        )
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RepeatPolicy::Stream | RepeatPolicy::ResumableStream)
    }
}
