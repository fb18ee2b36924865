use crate::engine::{GenerateEvent, GeneratePayload, Usage};

/// What the caller's stream does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Write this token.
    Write(String),
    /// The answer is complete; write the closing marker.
    Complete {
        /// `stop` or `length`.
        finish_reason: String,
        /// Token counts.
        usage: Usage,
    },
    /// The event is late, repeated or another request's; write nothing.
    Skip,
    /// The attempt can't go on.
    Fail(Fault),
}

/// Why an attempt can't go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A token is missing before the one that came.
    Gap,
    /// The engine answered under other weights or another incarnation.
    OtherWeights,
    /// The engine failed after it may have started.
    Failed,
    /// The engine stated that nothing ran.
    NotRun,
}

/// Puts the events of one request's attempts in order.
///
/// Without it a late answer of an attempt that was given up, or an answer
/// that the engine sent on the wrong connection, would reach the caller as
/// repeated or foreign text. Request identity, attempt number and token index
/// together name each token exactly once.
#[derive(Debug, Clone)]
pub struct Sequencer {
    request_id: String,
    attempt: u32,
    version: String,
    incarnation: u64,
    tokens: Vec<String>,
}

impl Sequencer {
    /// Returns the sequencer of a request that is bound to a weights version.
    pub fn new(request_id: &str, version: &str) -> Sequencer {
        Sequencer {
            request_id: request_id.to_owned(),
            attempt: 0,
            version: version.to_owned(),
            incarnation: 0,
            tokens: Vec::new(),
        }
    }

    /// Starts the next attempt on an incarnation of an engine and returns its
    /// number. Events of the attempts before it are skipped from now on.
    pub fn next_attempt(&mut self, incarnation: u64) -> u32 {
        self.attempt += 1;
        self.incarnation = incarnation;
        self.attempt
    }

    /// Returns the weights version that the answer is bound to; none while no
    /// token has been written, so that any version may still serve it.
    pub fn bound_version(&self) -> Option<&str> {
        (!self.tokens.is_empty()).then_some(self.version.as_str())
    }

    /// Binds the answer to another version, as long as nothing was written.
    /// Behind a written token the version stays: a text that two weights
    /// versions wrote in turn is the answer of neither.
    pub fn rebind(&mut self, version: &str) {
        if self.tokens.is_empty() {
            self.version = version.to_owned();
        }
    }

    /// Returns the tokens that the caller has.
    pub fn tokens(&self) -> &[String] {
        &self.tokens
    }

    /// Takes one event.
    pub fn take(&mut self, event: &GenerateEvent) -> Step {
        if event.request_id != self.request_id || event.attempt != self.attempt {
            return Step::Skip;
        }
        match &event.payload {
            GeneratePayload::Token { index, text } => self.token(*index, text),
            GeneratePayload::Done {
                finish_reason,
                version,
                incarnation,
                usage,
            } if *version == self.version && *incarnation == self.incarnation => {
                self.done(finish_reason, *usage)
            }
            GeneratePayload::Done { .. } => Step::Fail(Fault::OtherWeights),
            GeneratePayload::Failed { not_run: true, .. } => Step::Fail(Fault::NotRun),
            GeneratePayload::Failed { .. } => Step::Fail(Fault::Failed),
        }
    }

    fn token(&mut self, index: u64, text: &str) -> Step {
        let next = self.tokens.len() as u64;
        if index < next {
            return Step::Skip;
        }
        if index > next {
            return Step::Fail(Fault::Gap);
        }
        self.tokens.push(text.to_owned());
        Step::Write(text.to_owned())
    }

    fn done(&self, finish_reason: &str, usage: Usage) -> Step {
        if usage.completion_tokens != self.tokens.len() as u64 {
            return Step::Fail(Fault::Gap);
        }
        Step::Complete {
            finish_reason: finish_reason.to_owned(),
            usage,
        }
    }
}
