use {
    super::{answer, stand_in::Shared},
    mangowalk_core::{
        engine::{GenerateEvent, GeneratePayload, GenerateRequest, Usage},
        placement::{BLOCK_BYTES, TOKEN_BYTES, estimate_tokens},
    },
    std::{io::Write, sync::Arc, thread, time::Duration},
};

/// Tokens in one block of the prefix cache.
const BLOCK_TOKENS: u64 = (BLOCK_BYTES / TOKEN_BYTES) as u64;

/// Upper bound of an answer's length, whatever `max_tokens` allows.
const MAX_ANSWER_TOKENS: u64 = 200;

/// One attempt at a request, which streams its answer.
pub(super) struct Attempt<'a> {
    pub(super) shared: &'a Arc<Shared>,
    pub(super) request: &'a GenerateRequest,
    pub(super) incarnation: u64,
    pub(super) cached_blocks: usize,
}

impl Attempt<'_> {
    /// Streams the rest of the answer as server-sent events, subject to the
    /// injected faults.
    pub(super) fn write(&self, writer: &mut impl Write) {
        let tokens = u64::from(self.request.max_tokens).min(MAX_ANSWER_TOKENS);
        let first = self.request.generated.len() as u64;
        let faults = self.shared.lock().faults.clone();
        if let Some(not_run) = faults.fail_not_run {
            let reason = "made to fail".to_owned();
            let failed = GeneratePayload::Failed { reason, not_run };
            let _ = send(writer, &self.event(self.request.attempt, failed));
            return;
        }
        for index in first..tokens {
            if !self.wait_for_token(index - first) {
                return;
            }
            if faults.cut_after_tokens == Some(index - first) {
                let _ = writer.write(b"");
                return;
            }
            if faults.skip_token == Some(index) {
                continue;
            }
            let token = GeneratePayload::Token {
                index,
                text: answer::token(&self.request.prompt, index) + &"x".repeat(faults.pad_bytes),
            };
            if self.shared.lock().faults.cross_answers {
                let text = "foreign ".to_owned();
                let foreign = GeneratePayload::Token { index, text };
                let foreign = self.event(self.request.attempt + 1, foreign);
                let _ = send(writer, &foreign);
            }
            if send(writer, &self.event(self.request.attempt, token)).is_err() {
                return;
            }
        }
        let done = self.done_payload(tokens.max(first));
        let _ = send(writer, &self.event(self.request.attempt, done));
        let _ = writer.write(b"");
    }

    /// Waits for the time of one token and applies faults that are due after
    /// `written` tokens. Returns whether the attempt continues.
    fn wait_for_token(&self, written: u64) -> bool {
        let (faults, is_running) = {
            let inner = self.shared.lock();
            let key = (self.request.request_id.clone(), self.request.attempt);
            let is_running =
                inner.incarnation == self.incarnation && !inner.cancelled.contains(&key);
            (inner.faults.clone(), is_running)
        };
        if !is_running {
            return false;
        }
        let is_crash_prompt = faults
            .crash_on
            .as_ref()
            .is_some_and(|text| self.request.prompt.contains(text.as_str()));
        if is_crash_prompt || faults.crash_after_tokens == Some(written) {
            self.shared.crash();
            return false;
        }
        if faults.stall || faults.freeze_after_tokens == Some(written) {
            return self.wait_while_stalled();
        }
        let slow_factor = faults.slow_factor.max(1);
        thread::sleep(Duration::from_micros(
            self.shared.settings.token_us * slow_factor,
        ));
        self.shared.lock().incarnation == self.incarnation
    }

    /// Blocks until the attempt is cancelled, the engine crashes or the fault is
    /// cleared. Returns whether the attempt continues.
    fn wait_while_stalled(&self) -> bool {
        loop {
            thread::sleep(Duration::from_millis(20));
            let inner = self.shared.lock();
            let key = (self.request.request_id.clone(), self.request.attempt);
            if inner.incarnation != self.incarnation || inner.cancelled.contains(&key) {
                return false;
            }
            if !inner.faults.stall && inner.faults.freeze_after_tokens.is_none() {
                return true;
            }
        }
    }

    fn done_payload(&self, tokens: u64) -> GeneratePayload {
        let version = self.shared.lock().version.clone();
        let prompt_tokens = estimate_tokens(&self.request.prompt);
        GeneratePayload::Done {
            finish_reason: "length".to_owned(),
            version,
            incarnation: self.incarnation,
            usage: Usage {
                prompt_tokens,
                cached_tokens: (self.cached_blocks as u64 * BLOCK_TOKENS).min(prompt_tokens),
                completion_tokens: tokens,
            },
        }
    }

    fn event(&self, attempt: u32, payload: GeneratePayload) -> GenerateEvent {
        GenerateEvent {
            request_id: self.request.request_id.clone(),
            attempt,
            payload,
        }
    }
}

fn send(writer: &mut impl Write, event: &GenerateEvent) -> std::io::Result<()> {
    let text = serde_json::to_string(event).expect("serializable");
    writer.write_all(format!("data: {text}\n\n").as_bytes())
}
