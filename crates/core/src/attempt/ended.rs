use crate::{edge::SendError, refusal::Outcome, stream::Fault};

/// Why an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The answer was received completely.
    Complete,
    /// The caller disconnected.
    CallerGone,
    /// The call to the engine failed.
    Send(SendError),
    /// The request reached its maximum total time.
    OverTime,
    /// The engine stalled on all of its streams, and another engine is free.
    Stalled,
    /// The stream can't continue.
    Stream(Fault),
}

/// An attempt that ended, with what is known about its result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedAttempt {
    pub(super) end: AttemptEnd,
    pub(super) tokens: u64,
    pub(super) first_token_ms: Option<u64>,
}

impl EndedAttempt {
    /// Returns why the attempt ended.
    pub fn end(&self) -> AttemptEnd {
        self.end
    }

    /// Returns the time to the first token, in milliseconds; `None` if no token
    /// arrived.
    pub fn first_token_ms(&self) -> Option<u64> {
        self.first_token_ms
    }

    /// Returns what this attempt alone shows about the request's outcome.
    ///
    /// Only a refused connection or an explicit statement of the engine shows
    /// that nothing ran. A timeout leaves it open: the request may still be in
    /// the engine's queue, or it ran and its answer was lost.
    pub fn outcome(&self) -> Outcome {
        if self.tokens > 0 {
            return Outcome::Ran;
        }
        match self.end {
            AttemptEnd::Complete => Outcome::Ran,
            AttemptEnd::Send(SendError::NotConnected | SendError::Refused { .. })
            | AttemptEnd::Stream(Fault::NotRun) => Outcome::NotRun,
            AttemptEnd::CallerGone
            | AttemptEnd::OverTime
            | AttemptEnd::Stalled
            | AttemptEnd::Send(_)
            | AttemptEnd::Stream(_) => Outcome::Unknown,
        }
    }

    /// Returns whether the attempt counts as a failure of the engine.
    ///
    /// An engine that refuses because its incarnation or weights changed is
    /// healthy: the router's data about it was outdated. Counting such refusals
    /// would open the breaker after every restart and every new version.
    pub fn is_failure(&self) -> bool {
        !matches!(
            self.end,
            AttemptEnd::Complete
                | AttemptEnd::CallerGone
                | AttemptEnd::OverTime
                | AttemptEnd::Send(SendError::Refused { status: 409, .. })
                | AttemptEnd::Stream(Fault::NotRun)
        )
    }

    /// Returns whether the attempt failed because the router's data about the
    /// engine was outdated.
    pub fn is_stale(&self) -> bool {
        matches!(
            self.end,
            AttemptEnd::Send(SendError::Refused { status: 409, .. })
                | AttemptEnd::Stream(Fault::OtherWeights)
        )
    }

    /// Returns whether the engine may still be working on the attempt and needs
    /// a cancel request.
    pub fn needs_cancel(&self) -> bool {
        matches!(
            self.end,
            AttemptEnd::CallerGone
                | AttemptEnd::OverTime
                | AttemptEnd::Stalled
                | AttemptEnd::Send(SendError::TimedOut | SendError::Unreadable)
                | AttemptEnd::Stream(Fault::Gap | Fault::OtherWeights)
        )
    }
}
