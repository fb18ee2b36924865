use super::{AttemptEnd, EndedAttempt, Timeouts};

/// Phase of an attempt that has not been sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Planned;

/// Phase of an attempt that may have reached its engine, before its first token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sent {
    sent_ms: u64,
}

/// Phase of an attempt that has returned at least one token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Streaming {
    sent_ms: u64,
    first_ms: u64,
    last_ms: u64,
    tokens: u64,
}

/// One attempt, with its phase as a type parameter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub struct Attempt<Phase> {
    number: u32,
    phase: Phase,
}

impl<Phase> Attempt<Phase> {
    /// Returns the number of the attempt, counted from 1.
    pub fn number(&self) -> u32 {
        self.number
    }
}

impl Attempt<Planned> {
    /// Returns an attempt that has not been sent. `number` counts from 1.
    pub fn plan(number: u32) -> Attempt<Planned> {
        Attempt {
            number,
            phase: Planned,
        }
    }

    /// Marks the attempt as sent. From now on the engine may have run it.
    pub fn send(self, now_ms: u64) -> Attempt<Sent> {
        Attempt {
            number: self.number,
            phase: Sent { sent_ms: now_ms },
        }
    }
}

impl Attempt<Sent> {
    /// Returns the remaining wait in milliseconds, 0 after the timeout.
    pub fn wait_ms(&self, timeouts: &Timeouts, now_ms: u64) -> u64 {
        let until_ms = self.phase.sent_ms.saturating_add(timeouts.first_token_ms);
        until_ms.saturating_sub(now_ms)
    }

    /// Records the first token.
    pub fn first_token(self, now_ms: u64) -> Attempt<Streaming> {
        Attempt {
            number: self.number,
            phase: Streaming {
                sent_ms: self.phase.sent_ms,
                first_ms: now_ms,
                last_ms: now_ms,
                tokens: 1,
            },
        }
    }

    /// Ends the attempt before its first token.
    pub fn end(self, end: AttemptEnd) -> EndedAttempt {
        EndedAttempt {
            end,
            tokens: 0,
            first_token_ms: None,
        }
    }
}

impl Attempt<Streaming> {
    /// Returns the remaining wait in milliseconds, 0 after the timeout.
    pub fn wait_ms(&self, timeouts: &Timeouts, now_ms: u64) -> u64 {
        let until_ms = self
            .phase
            .last_ms
            .saturating_add(timeouts.between_tokens_ms);
        until_ms.saturating_sub(now_ms)
    }

    /// Returns the time from sending to the first token, in milliseconds.
    pub fn first_token_ms(&self) -> u64 {
        self.phase.first_ms.saturating_sub(self.phase.sent_ms)
    }

    /// Records a further token.
    pub fn token(&mut self, now_ms: u64) {
        self.phase.last_ms = now_ms;
        self.phase.tokens += 1;
    }

    /// Ends the attempt after at least one token.
    pub fn end(self, end: AttemptEnd) -> EndedAttempt {
        EndedAttempt {
            end,
            tokens: self.phase.tokens,
            first_token_ms: Some(self.first_token_ms()),
        }
    }
}
