use crate::{edge::SendError, refusal::Outcome, stream::Fault};

/// Why an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The answer is complete.
    Complete,
    /// The caller has gone.
    CallerGone,
    /// The call failed.
    Send(SendError),
    /// The request reached the longest time that it may take.
    OverTime,
    /// The engine fell silent to all of its streams, and another is free.
    Stalled,
    /// The stream can't go on.
    Stream(Fault),
}

/// An attempt that ended, and what is known of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedAttempt {
    pub(super) end: End,
    pub(super) tokens: u64,
    pub(super) first_token_ms: Option<u64>,
}

impl EndedAttempt {
    /// Returns why it ended.
    pub fn end(&self) -> End {
        self.end
    }

    /// Returns the time to its first token, if one came.
    pub fn first_token_ms(&self) -> Option<u64> {
        self.first_token_ms
    }

    /// Returns what is known of the request through this attempt alone.
    ///
    /// Only a refused connection and an engine's own statement show that
    /// nothing ran. A timeout shows nothing: the request may still be in the
    /// engine's queue, or have run with its answer lost.
    pub fn outcome(&self) -> Outcome {
        if self.tokens > 0 {
            return Outcome::Ran;
        }
        match self.end {
            End::Complete => Outcome::Ran,
            End::Send(SendError::NotConnected | SendError::Refused { .. })
            | End::Stream(Fault::NotRun) => Outcome::NotRun,
            End::CallerGone | End::OverTime | End::Stalled | End::Send(_) | End::Stream(_) => {
                Outcome::Unknown
            }
        }
    }

    /// Returns whether the engine is to blame.
    ///
    /// An engine that refuses because its incarnation or weights changed is
    /// healthy: what the router knew of it was old. Counting that against it
    /// would open its breaker after every restart and every new version.
    pub fn is_failure(&self) -> bool {
        !matches!(
            self.end,
            End::Complete
                | End::CallerGone
                | End::OverTime
                | End::Send(SendError::Refused { status: 409 })
                | End::Stream(Fault::NotRun)
        )
    }

    /// Returns whether what is known of the engine was old.
    pub fn is_stale(&self) -> bool {
        matches!(
            self.end,
            End::Send(SendError::Refused { status: 409 }) | End::Stream(Fault::OtherWeights)
        )
    }

    /// Returns whether the engine may still work on the attempt, so that it
    /// has to be told to stop.
    pub fn needs_cancel(&self) -> bool {
        matches!(
            self.end,
            End::CallerGone
                | End::OverTime
                | End::Stalled
                | End::Send(SendError::TimedOut | SendError::Unreadable)
                | End::Stream(Fault::Gap | Fault::OtherWeights)
        )
    }
}
