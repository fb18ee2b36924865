use {mangowalk_core::refusal::Refusal, serde::Serialize};

/// Error body of the OpenAI-compatible protocol.
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
    /// Known outcome of the request: `not_run`, `unknown` or `ran`.
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
