use super::{End, EndedAttempt, Timeouts};

/// An attempt that is chosen and not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Planned;

/// An attempt that may have reached its engine, without a token yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sent {
    sent_ms: u64,
}

/// An attempt that has brought at least one token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Streaming {
    sent_ms: u64,
    first_ms: u64,
    last_ms: u64,
    tokens: u64,
}

/// One attempt in one of its phases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[must_use]
pub struct Attempt<Phase> {
    number: u32,
    phase: Phase,
}

impl<Phase> Attempt<Phase> {
    /// Returns the number of the attempt, from 1.
    pub fn number(&self) -> u32 {
        self.number
    }
}

impl Attempt<Planned> {
    /// Plans an attempt.
    pub fn plan(number: u32) -> Attempt<Planned> {
        Attempt {
            number,
            phase: Planned,
        }
    }

    /// Notes that the attempt leaves. From here on it may have run.
    pub fn send(self, now_ms: u64) -> Attempt<Sent> {
        Attempt {
            number: self.number,
            phase: Sent { sent_ms: now_ms },
        }
    }
}

impl Attempt<Sent> {
    /// Returns how long to wait on, 0 when the time is over.
    pub fn wait_ms(&self, timeouts: &Timeouts, now_ms: u64) -> u64 {
        let until_ms = self.phase.sent_ms.saturating_add(timeouts.first_token_ms);
        until_ms.saturating_sub(now_ms)
    }

    /// Notes the first token.
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
    pub fn end(self, end: End) -> EndedAttempt {
        EndedAttempt {
            end,
            tokens: 0,
            first_token_ms: None,
        }
    }
}

impl Attempt<Streaming> {
    /// Returns how long to wait on, 0 when the time is over.
    pub fn wait_ms(&self, timeouts: &Timeouts, now_ms: u64) -> u64 {
        let until_ms = self
            .phase
            .last_ms
            .saturating_add(timeouts.between_tokens_ms);
        until_ms.saturating_sub(now_ms)
    }

    /// Returns the time from sending to the first token.
    pub fn first_token_ms(&self) -> u64 {
        self.phase.first_ms.saturating_sub(self.phase.sent_ms)
    }

    /// Notes one more token.
    pub fn token(&mut self, now_ms: u64) {
        self.phase.last_ms = now_ms;
        self.phase.tokens += 1;
    }

    /// Ends the attempt.
    pub fn end(self, end: End) -> EndedAttempt {
        EndedAttempt {
            end,
            tokens: self.phase.tokens,
            first_token_ms: Some(self.first_token_ms()),
        }
    }
}
