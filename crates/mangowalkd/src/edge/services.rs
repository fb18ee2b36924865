use {
    super::http::exchange,
    mangowalk_core::edge::{SendError, ServiceCall, ServiceReply, Services},
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
        let method = match call.method {
            "GET" => minreq::Method::Get,
            _ => minreq::Method::Post,
        };
        let mut request = minreq::Request::new(method, format!("http://{address}{}", call.path))
            .with_header("Content-Type", call.content_type)
            .with_header("X-Mangowalk-Team", call.team)
            .with_header("X-Request-Id", call.request_id)
            .with_body(call.body);
        if let Some(key) = call.idempotency_key {
            request = request.with_header("Idempotency-Key", key);
        }
        let (status, content_type, body) = exchange(request, timeout_ms)?;
        Ok(ServiceReply {
            status,
            content_type,
            body,
        })
    }
}
