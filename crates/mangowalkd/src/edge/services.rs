use {
    super::http::MAX_BODY_BYTES,
    mangowalk_core::edge::{SendError, ServiceCall, ServiceReply, Services},
    mangowalk_http_client::{HttpCall, fetch},
    std::net::SocketAddr,
};

const CONTENT_TYPE: &str = "Content-Type";

/// HTTP client of plain services.
#[derive(Debug, Default)]
pub struct HttpServices;

impl Services for HttpServices {
    fn call(
        &self,
        address: SocketAddr,
        call: &ServiceCall<'_>,
        timeout_ms: u64,
        is_wanted: &dyn Fn() -> bool,
    ) -> Result<ServiceReply, SendError> {
        let mut headers = vec![
            (CONTENT_TYPE, call.content_type),
            ("X-Mangowalk-Team", call.team),
            ("X-Request-Id", call.request_id),
        ];
        headers.extend(call.idempotency_key.map(|key| ("Idempotency-Key", key)));
        let http_call = HttpCall {
            method: call.method,
            path: call.path,
            headers: &headers,
            body: call.body,
        };
        let authority = address.to_string();
        let answer = fetch(
            &authority,
            &http_call,
            MAX_BODY_BYTES,
            timeout_ms,
            is_wanted,
        )
        .map_err(as_lost)?;
        let content_type = answer.headers.get(CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok());
        Ok(ServiceReply {
            status: answer.status,
            content_type: content_type.unwrap_or_default().to_owned(),
            body: answer.body.into(),
        })
    }
}

/// A service whose answer is no HTTP may have crashed in the middle of writing one.
fn as_lost(error: SendError) -> SendError {
    match error {
        SendError::Unreadable => SendError::Lost,
        error => error,
    }
}
