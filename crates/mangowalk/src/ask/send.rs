use {
    super::{answer::Answer, base_url::BaseUrl},
    crate::failure::Failure,
    error_stack::Report,
    mangowalk_core::edge::SendError,
    mangowalk_http_client::{HttpAnswer, HttpCall},
    serde_json::Value,
    std::{
        io::{self, BufRead, BufReader, Read, Write},
        time::Instant,
    },
};

/// Timeout of a chat request, in milliseconds.
const TIMEOUT_MS: u64 = 300_000;

/// Maximum number of bytes that are read of an answer: far more than that of any model.
const MAX_ANSWER_BYTES: u64 = 64 << 20;

/// Maximum number of bytes of a refusal, which holds a sentence.
const MAX_REFUSAL_BYTES: usize = 1 << 20;

/// Data of the event that ends a complete stream.
const STREAM_END: &str = "[DONE]";

/// Chat request to one instance.
pub(super) struct ChatRequest<'a> {
    /// Base URL of the instance.
    pub(super) url: &'a str,
    /// API key of the team.
    pub(super) key: &'a str,
    /// JSON body.
    pub(super) body: &'a str,
    /// Whether to print the text while it is received.
    pub(super) print: bool,
}

/// Outcome of one attempt, other than a final failure.
pub(super) enum Attempt {
    /// The instance answered; the stream may have been cut off.
    Answered(Answer),
    /// The request did not run and may be retried after `retry_ms`.
    NotRun { detail: String, retry_ms: u64 },
}

impl Attempt {
    /// Returns the outcome of a request that did not reach the instance at
    /// `url`.
    pub(super) fn unreachable(url: &str) -> Attempt {
        Attempt::NotRun {
            detail: format!("{url} was not reached; check --url."),
            retry_ms: 0,
        }
    }
}

/// Sends a request, and prints the text while it is received if the request
/// asks for it.
///
/// # Errors
///
/// Returns [`Failure::NotAnswered`] if the URL is not one of `http`, the request was refused
/// and must not be retried, or the connection was lost before the end of the response head.
pub(super) fn send(request: &ChatRequest<'_>) -> Result<Attempt, Report<Failure>> {
    let started = Instant::now();
    let Some(url) = BaseUrl::parse(request.url) else {
        return Err(not_answered(format!(
            "{} is no URL of an instance; give --url as http://IP:PORT.",
            request.url
        )));
    };
    let response = match post(&url, request) {
        Ok(response) => response,
        Err(SendError::NotConnected) => return Ok(Attempt::unreachable(request.url)),
        Err(error) => return Err(answer_lost(error)),
    };
    if response.status != 200 {
        return classify_refusal(response);
    }
    let mut answer = Answer {
        instance: request.url.to_owned(),
        request_id: header(&response, "x-request-id"),
        ..Answer::default()
    };
    for line in BufReader::new(response.body.take(MAX_ANSWER_BYTES)).lines() {
        let Ok(line) = line else { break };
        if let Some(data) = line.strip_prefix("data:") {
            apply_event(&mut answer, data.trim(), started, request.print);
        }
    }
    Ok(Attempt::Answered(answer))
}

fn post(url: &BaseUrl, request: &ChatRequest<'_>) -> Result<HttpAnswer, SendError> {
    let key = format!("Bearer {}", request.key);
    let call = HttpCall {
        method: "POST",
        path: &url.path_of("/v1/chat/completions"),
        headers: &[
            ("Authorization", &key),
            ("Content-Type", "application/json"),
        ],
        body: request.body.as_bytes(),
    };
    mangowalk_http_client::send(&url.authority, &call, TIMEOUT_MS)
}

/// Applies the data of one stream event to the answer, and prints its text if
/// `print` is set.
fn apply_event(answer: &mut Answer, data: &str, started: Instant, print: bool) {
    if data == STREAM_END {
        answer.complete = true;
        return;
    }
    let event: Value = serde_json::from_str(data).unwrap_or_default();
    if let Some(text) = event["choices"][0]["delta"]["content"].as_str()
        && !text.is_empty()
    {
        if answer.events == 0 {
            answer.first_token_ms = started.elapsed().as_millis() as u64;
        }
        answer.events += 1;
        answer.text.push_str(text);
        if print {
            let mut stdout = io::stdout();
            let _ = stdout.write_all(text.as_bytes());
            let _ = stdout.flush();
        }
    }
    let usage = &event["usage"];
    if usage.is_object() {
        let count = |value: &Value| value.as_u64().unwrap_or(0);
        answer.prompt_tokens = count(&usage["prompt_tokens"]);
        answer.completion_tokens = count(&usage["completion_tokens"]);
        answer.cached_tokens = count(&usage["prompt_tokens_details"]["cached_tokens"]);
    }
}

/// Reads a refusal. The request may be retried only if the instance states that
/// it did not run and after which time to retry.
fn classify_refusal(response: HttpAnswer) -> Result<Attempt, Report<Failure>> {
    let outcome = header(&response, "x-mangowalk-outcome");
    let retry_ms = header(&response, "retry-after-ms").parse::<u64>().ok();
    let (status, body) = response
        .read_whole(MAX_REFUSAL_BYTES)
        .map_err(answer_lost)?;
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    let message = body["error"]["message"]
        .as_str()
        .unwrap_or("no reason given");
    let detail = format!("The request was refused with status {status}. {message}");
    match retry_ms {
        Some(retry_ms) if outcome == "not_run" => Ok(Attempt::NotRun { detail, retry_ms }),
        _ => Err(not_answered(detail)),
    }
}

/// Returns the failure of a request whose outcome isn't known.
fn answer_lost(error: SendError) -> Report<Failure> {
    let reason = match error {
        SendError::TimedOut => "it did not arrive in time",
        SendError::Unreadable => "it is no HTTP",
        _ => "its connection ended early",
    };
    not_answered(format!("The answer was lost ({reason}); ask again."))
}

fn not_answered(detail: String) -> Report<Failure> {
    Report::new(Failure::NotAnswered { detail })
}

/// Returns the value of a header, empty if it is missing.
fn header(response: &HttpAnswer, name: &str) -> String {
    response.header(name).unwrap_or_default().to_owned()
}
