use {
    super::http::MAX_BODY_BYTES,
    mangowalk_core::edge::{SendError, ServiceCall, ServiceReply, Services},
    mangowalk_http_client::{HttpCall, send},
    std::net::SocketAddr,
};

/// HTTP client of plain services.
#[derive(Debug, Default)]
pub struct HttpServices;

impl Services for HttpServices {
    fn call(
        &self,
        address: SocketAddr,
        call: &ServiceCall<'_>,
        timeout_ms: u64,
    ) -> Result<ServiceReply, SendError> {
        let mut headers = vec![
            ("Content-Type", call.content_type),
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
        let answer = send(&address.to_string(), &http_call, timeout_ms).map_err(as_lost)?;
        let content_type = answer.header("Content-Type").unwrap_or_default().to_owned();
        let (status, body) = answer.read_whole(MAX_BODY_BYTES)?;
        Ok(ServiceReply {
            status,
            content_type,
            body,
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
