use {
    super::reply,
    mangowalk_core::refusal::Refusal,
    serde::Serialize,
    std::io::Cursor,
    tiny_http::{Request, Response},
};

const MS_PER_S: u64 = 1_000;

/// The protocol's error body.
#[derive(Debug, Serialize)]
pub(super) struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorDetail<'a> {
    message: String,
    r#type: &'a str,
    code: &'a str,
    param: Option<&'a str>,
    /// What is known of the request: `not_run`, `unknown` or `ran`.
    outcome: String,
}

impl ErrorBody<'_> {
    pub(super) fn of(refusal: &Refusal) -> ErrorBody<'static> {
        ErrorBody {
            error: ErrorDetail {
                message: refusal.to_string(),
                r#type: refusal.error_type(),
                code: refusal.code(),
                param: None,
                outcome: refusal.outcome().to_string(),
            },
        }
    }
}

/// Answers with a refusal.
pub(super) fn respond(request: Request, refusal: &Refusal, request_id: &str) {
    let _ = request.respond(response(refusal, request_id));
}

fn response(refusal: &Refusal, request_id: &str) -> Response<Cursor<Vec<u8>>> {
    let body = serde_json::to_vec(&ErrorBody::of(refusal)).unwrap_or_default();
    let mut response = reply::json(refusal.status(), body, request_id);
    let outcome = refusal.outcome().to_string();
    response = reply::with_header(response, "x-mangowalk-outcome", &outcome);
    if let Some(retry_ms) = refusal.retry_ms() {
        let retry_s = retry_ms.div_ceil(MS_PER_S).max(1).to_string();
        response = reply::with_header(response, "Retry-After", &retry_s);
        response = reply::with_header(response, "retry-after-ms", &retry_ms.to_string());
    }
    response
}
