use {
    super::error::ErrorBody,
    mangowalk_core::refusal::{Outcome, Refusal},
    std::io::Cursor,
    tiny_http::{Header, Request, Response},
};

const MS_PER_S: u64 = 1_000;

/// Header that names the sender of a response, `router` or `service`. Without
/// it, a service's own error would look like one of the router.
pub(super) const SOURCE_HEADER: &str = "x-mangowalk-source";

/// A response whose complete body is in memory.
pub(super) type BufferedResponse = Response<Cursor<Vec<u8>>>;

/// Headers of every response to one request.
#[derive(Debug, Clone, Default)]
pub(super) struct ResponseHeaders {
    headers: Vec<(&'static str, String)>,
}

impl ResponseHeaders {
    /// Returns a head with the request's identity.
    pub(super) fn of(request_id: &str) -> ResponseHeaders {
        let mut head = ResponseHeaders::default();
        head.add("x-request-id", request_id.to_owned());
        head
    }

    /// Adds a header.
    pub(super) fn add(&mut self, name: &'static str, value: String) {
        self.headers.push((name, value));
    }

    /// Returns every header.
    pub(super) fn headers(&self) -> &[(&'static str, String)] {
        &self.headers
    }

    /// Responds with JSON.
    pub(super) fn json(&self, request: Request, status: u16, body: Vec<u8>) {
        let _ = request.respond(self.response(status, body));
    }

    /// Responds with a refusal.
    pub(super) fn refuse(&self, request: Request, refusal: &Refusal) {
        let _ = request.respond(self.refusal(refusal));
    }

    /// Returns the response for a refusal.
    pub(super) fn refusal(&self, refusal: &Refusal) -> BufferedResponse {
        let body = serde_json::to_vec(&ErrorBody::of(refusal)).unwrap_or_default();
        let mut response = self.response(refusal.status(), body);
        let outcome = refusal.outcome().to_string();
        response = with_header(response, "x-mangowalk-outcome", &outcome);
        response = with_header(response, "x-should-retry", should_retry(refusal));
        response = with_header(response, SOURCE_HEADER, "router");
        if let Some(retry_ms) = refusal.retry_ms() {
            let retry_s = retry_ms.div_ceil(MS_PER_S).max(1).to_string();
            response = with_header(response, "Retry-After", &retry_s);
            response = with_header(response, "retry-after-ms", &retry_ms.to_string());
        }
        response
    }

    fn response(&self, status: u16, body: Vec<u8>) -> BufferedResponse {
        let response = Response::from_data(body).with_status_code(status);
        let response = with_header(response, "Content-Type", "application/json");
        self.headers
            .iter()
            .fold(response, |response, (name, value)| {
                with_header(response, name, value)
            })
    }
}

/// Returns whether client libraries should retry automatically, as the value of
/// `x-should-retry`. Without it they retry after every 409 and 5xx, even if the
/// request may have run.
fn should_retry(refusal: &Refusal) -> &'static str {
    let is_retryable = refusal.retry_ms().is_some() || refusal.status() == 408;
    if is_retryable && refusal.outcome() == Outcome::NotRun {
        return "true";
    }
    "false"
}

/// Adds a header. A value that is invalid in a header is left out.
fn with_header(response: BufferedResponse, name: &str, value: &str) -> BufferedResponse {
    match Header::from_bytes(name, value) {
        Ok(header) => response.with_header(header),
        Err(()) => response,
    }
}
