use {
    super::{
        addresses::instance_urls,
        answer::Answer,
        send::{Attempt, ChatRequest, send},
    },
    crate::{
        failure::Failure,
        output::{Output, progress},
    },
    bpaf::Bpaf,
    error_stack::Report,
    serde_json::{Value, json},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Minimum pause between two attempts, in milliseconds.
const MIN_RETRY_PAUSE_MS: u64 = 100;

/// Arguments of `ask`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct Ask {
    /// Any instance, as callers reach it: http://IP:PORT.
    #[bpaf(long, env("MANGOWALK_URL"), argument("URL"))]
    url: String,

    /// Key of a team. The environment variable keeps it out of the process
    /// list.
    #[bpaf(long, env("MANGOWALK_KEY"), argument("KEY"))]
    key: String,

    /// Model to ask.
    #[bpaf(long, argument("NAME"))]
    model: String,

    /// Text that goes before the question, such as a handbook.
    #[bpaf(long, argument("TEXT"), optional)]
    system: Option<String>,

    /// Most tokens of the answer.
    #[bpaf(long, argument("COUNT"), fallback(128), display_fallback)]
    max_tokens: u32,

    /// Keep trying for this long while the answer is that the request did not
    /// run and may come back, in milliseconds.
    #[bpaf(long, argument("MS"), fallback(0), display_fallback)]
    patience_ms: u64,

    /// Print JSON for programs.
    #[bpaf(long)]
    json: bool,

    /// Question
    #[bpaf(positional("QUESTION"))]
    question: String,
}

impl Ask {
    /// Sends the question and prints the answer as it streams. Retries a
    /// request that did not run as long as `--patience-ms` allows.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::NotAnswered`] if no instance answered in time, the
    /// request was refused for good, or the answer was cut off.
    pub(crate) fn run(&self) -> Result<(), Report<Failure>> {
        let deadline = Instant::now() + Duration::from_millis(self.patience_ms);
        loop {
            match self.attempt()? {
                Attempt::Answered(answer) => return self.finish(&answer),
                Attempt::NotRun { detail, retry_ms } => {
                    let pause = Duration::from_millis(retry_ms.max(MIN_RETRY_PAUSE_MS));
                    if Instant::now() + pause > deadline {
                        return Err(Report::new(Failure::NotAnswered { detail }));
                    }
                    progress(&detail);
                    thread::sleep(pause);
                }
            }
        }
    }

    /// Sends the request to the listed instances in turn until one answers.
    /// Returns the last outcome if none does.
    fn attempt(&self) -> Result<Attempt, Report<Failure>> {
        let mut last = Attempt::unreachable(&self.url);
        for url in instance_urls(&self.url) {
            let question = ChatRequest {
                url: &url,
                key: &self.key,
                body: &self.body().to_string(),
                print: !self.json,
            };
            match send(&question)? {
                Attempt::Answered(answer) => return Ok(Attempt::Answered(answer)),
                not_run => last = not_run,
            }
        }
        Ok(last)
    }

    /// Returns the body of the chat completion request.
    fn body(&self) -> Value {
        let mut messages = Vec::new();
        if let Some(system) = &self.system {
            messages.push(json!({ "role": "system", "content": system }));
        }
        messages.push(json!({ "role": "user", "content": self.question }));
        json!({
            "model": self.model,
            "messages": messages,
            "max_tokens": self.max_tokens,
            "stream": true,
            "stream_options": { "include_usage": true },
        })
    }

    /// Prints the answer, and fails if its stream was cut off.
    fn finish(&self, answer: &Answer) -> Result<(), Report<Failure>> {
        if self.json {
            Output { json: true }.print(answer, "");
        } else {
            Output { json: false }.print(answer, "\n");
            progress(&answer.summary());
        }
        if answer.complete {
            return Ok(());
        }
        Err(Report::new(Failure::NotAnswered {
            detail: format!(
                "The answer was cut after {} events; ask again.",
                answer.events
            ),
        }))
    }
}
