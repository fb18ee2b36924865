use crate::engine::{GenerateEvent, GeneratePayload, Usage};

/// What to do with the caller's stream after an event.
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
    /// The event is late, repeated or belongs to another request; write nothing.
    Skip,
    /// The attempt failed.
    Fail(Fault),
}

/// Why the events of an attempt make it fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// At least one token is missing, or the engine's final token count differs
    /// from the number of tokens received.
    Gap,
    /// The engine answered under other weights or another incarnation.
    OtherWeights,
    /// The engine failed, and the request may have run.
    Failed,
    /// The engine stated that nothing ran.
    NotRun,
}

/// Merges the events of one request's attempts into one sequence of tokens.
///
/// Without it, a late answer of an abandoned attempt, or an answer that an
/// engine sent on the wrong connection, would reach the caller as repeated text
/// or as text of another request. Request id, attempt number and token index
/// together identify each token uniquely.
#[derive(Debug, Clone)]
pub struct Sequencer {
    request_id: String,
    attempt: u32,
    version: String,
    incarnation: u64,
    tokens: Vec<String>,
}

impl Sequencer {
    /// Returns a sequencer for a request. `version` is the weights version that
    /// the answer is expected from.
    pub fn new(request_id: &str, version: &str) -> Sequencer {
        Sequencer {
            request_id: request_id.to_owned(),
            attempt: 0,
            version: version.to_owned(),
            incarnation: 0,
            tokens: Vec::new(),
        }
    }

    /// Starts the next attempt on an engine's incarnation and returns the
    /// attempt's number. Events of earlier attempts are skipped from now on.
    pub fn next_attempt(&mut self, incarnation: u64) -> u32 {
        self.attempt += 1;
        self.incarnation = incarnation;
        self.attempt
    }

    /// Returns the weights version that the answer is bound to; `None` while no
    /// token has been written and any version may still serve the request.
    pub fn bound_version(&self) -> Option<&str> {
        (!self.tokens.is_empty()).then_some(self.version.as_str())
    }

    /// Changes the expected weights version, unless a token was written.
    /// After that the version is fixed: a text generated partly by each of two
    /// versions is not a valid answer of either.
    pub fn rebind(&mut self, version: &str) {
        if self.tokens.is_empty() {
            self.version = version.to_owned();
        }
    }

    /// Returns the tokens written to the caller so far.
    pub fn tokens(&self) -> &[String] {
        &self.tokens
    }

    /// Processes one event, and returns what to do with the caller's stream.
    pub fn process(&mut self, event: &GenerateEvent) -> Step {
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
