use {
    super::answer::Answer,
    crate::failure::Failure,
    error_stack::Report,
    serde_json::Value,
    std::{
        io::{self, BufRead, BufReader, Read, Write},
        time::Instant,
    },
};

/// Timeout of a chat request, in seconds.
const TIMEOUT_S: u64 = 300;

/// Maximum number of bytes that are read of an answer: far more than that of any model.
const MAX_ANSWER_BYTES: u64 = 64 << 20;

/// Maximum number of bytes that are read of a refusal, which holds a sentence.
const MAX_REFUSAL_BYTES: u64 = 1 << 20;

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
/// Returns [`Failure::NotAnswered`] if the request was refused and must not be
/// retried, or if the connection was lost before the response head.
pub(super) fn send(request: &ChatRequest<'_>) -> Result<Attempt, Report<Failure>> {
    let started = Instant::now();
    let response = minreq::post(format!("{}/v1/chat/completions", request.url))
        .with_header("Authorization", format!("Bearer {}", request.key))
        .with_header("Content-Type", "application/json")
        .with_header("Connection", "close")
        .with_follow_redirects(false)
        .with_timeout(TIMEOUT_S)
        .with_body(request.body)
        .send_lazy();
    let response = match response {
        Ok(response) => response,
        Err(minreq::Error::IoError(e)) if e.kind() == io::ErrorKind::ConnectionRefused => {
            return Ok(Attempt::unreachable(request.url));
        }
        Err(error) => return Err(connection_lost(&error.to_string())),
    };
    if response.status_code != 200 {
        return classify_refusal(response);
    }
    let mut answer = Answer {
        instance: request.url.to_owned(),
        request_id: header(&response, "x-request-id"),
        ..Answer::default()
    };
    for line in BufReader::new(response.take(MAX_ANSWER_BYTES)).lines() {
        let Ok(line) = line else { break };
        if let Some(data) = line.strip_prefix("data:") {
            apply_event(&mut answer, data.trim(), started, request.print);
        }
    }
    Ok(Attempt::Answered(answer))
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
fn classify_refusal(response: minreq::ResponseLazy) -> Result<Attempt, Report<Failure>> {
    let status = response.status_code;
    let outcome = header(&response, "x-mangowalk-outcome");
    let retry_ms = header(&response, "retry-after-ms").parse::<u64>().ok();
    let mut body = String::new();
    let _ = response.take(MAX_REFUSAL_BYTES).read_to_string(&mut body);
    let body: Value = serde_json::from_str(&body).unwrap_or_default();
    let message = body["error"]["message"]
        .as_str()
        .unwrap_or("no reason given");
    let detail = format!("The request was refused with status {status}. {message}");
    match retry_ms {
        Some(retry_ms) if outcome == "not_run" => Ok(Attempt::NotRun { detail, retry_ms }),
        _ => Err(Report::new(Failure::NotAnswered { detail })),
    }
}

/// Returns the failure of a request whose connection was lost.
fn connection_lost(detail: &str) -> Report<Failure> {
    Report::new(Failure::NotAnswered {
        detail: format!("The answer was lost ({detail}); ask again."),
    })
}

/// Returns the value of a header, empty if it is missing.
fn header(response: &minreq::ResponseLazy, name: &str) -> String {
    response
        .headers
        .iter()
        .find(|(n, _)| n.eq_ignore_ascii_case(name))
        .map(|(_, v)| v.clone())
        .unwrap_or_default()
}
