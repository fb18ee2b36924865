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

/// Longest time of a request, in seconds.
const TIMEOUT_S: u64 = 300;

const STREAM_END: &str = "[DONE]";

/// A request to one instance.
pub(super) struct ChatRequest<'a> {
    pub(super) url: &'a str,
    pub(super) key: &'a str,
    pub(super) body: &'a str,
    /// Whether the text is printed as it comes.
    pub(super) print: bool,
}

/// What became of a request that may be sent again.
pub(super) enum Attempt {
    /// An answer came, whole or cut.
    Answered(Answer),
    /// It did not run, and may be sent again.
    NotRun { detail: String, retry_ms: u64 },
}

impl Attempt {
    /// Returns the outcome of a request that no instance took.
    pub(super) fn unreachable(url: &str) -> Attempt {
        Attempt::NotRun {
            detail: format!("{url} was not reached; check --url."),
            retry_ms: 0,
        }
    }
}

/// Sends a request, and prints the text as it comes.
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
    for line in BufReader::new(response).lines() {
        let Ok(line) = line else { break };
        if let Some(data) = line.strip_prefix("data:") {
            apply_event(&mut answer, data.trim(), started, request.print);
        }
    }
    Ok(Attempt::Answered(answer))
}

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

/// Tells a refusal that may come back from one that stands.
fn classify_refusal(mut response: minreq::ResponseLazy) -> Result<Attempt, Report<Failure>> {
    let status = response.status_code;
    let outcome = header(&response, "x-mangowalk-outcome");
    let retry_ms = header(&response, "retry-after-ms").parse::<u64>().ok();
    let mut body = String::new();
    let _ = response.read_to_string(&mut body);
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

fn connection_lost(detail: &str) -> Report<Failure> {
    Report::new(Failure::NotAnswered {
        detail: format!("The answer was lost ({detail}); ask again."),
    })
}

fn header(response: &minreq::ResponseLazy, name: &str) -> String {
    response
        .headers
        .iter()
        .find(|(n, _)| n.eq_ignore_ascii_case(name))
        .map(|(_, v)| v.clone())
        .unwrap_or_default()
}
