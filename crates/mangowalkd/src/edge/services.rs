use {
    http::{
        HeaderValue, Request,
        header::{CONNECTION, CONTENT_TYPE, HOST},
    },
    http_body_util::{BodyExt, Full, Limited},
    hyper::body::Bytes,
    mangowalk_core::edge::{SendError, ServiceCall, ServiceReply, Services},
    mangowalk_gateway::{bounded::MeteredBody, upstreams::handshake},
    std::{
        io::{self, ErrorKind},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
    tokio::{net::TcpStream, runtime, time::timeout},
};

/// Maximum number of bytes of an answer's body; a longer answer counts as lost.
const MAX_BODY_BYTES: usize = 16 << 20;

/// HTTP client of plain services.
///
/// Unlike the client of the other edges it tells an answer that breaks off in its chunks
/// from a complete one. Their answers are parsed, and a service's is passed on as it is.
#[derive(Debug, Default)]
pub struct HttpServices;

impl Services for HttpServices {
    fn call(
        &self,
        address: SocketAddr,
        call: &ServiceCall<'_>,
        timeout_ms: u64,
    ) -> Result<ServiceReply, SendError> {
        let request = to_request(address, call).map_err(|_| SendError::NotConnected)?;
        let event_loop = runtime::Builder::new_current_thread().enable_all().build();
        let event_loop = event_loop.map_err(|_| SendError::NotConnected)?;
        event_loop.block_on(async {
            let sent = send(address, request);
            let limit = Duration::from_millis(timeout_ms);
            timeout(limit, sent)
                .await
                .unwrap_or(Err(SendError::TimedOut))
        })
    }
}

fn to_request(address: SocketAddr, call: &ServiceCall<'_>) -> http::Result<Request<Full<Bytes>>> {
    let host = HeaderValue::from_str(&address.to_string());
    let mut request = Request::builder()
        .method(call.method)
        .uri(call.path)
        .header(HOST, host?)
        .header(CONNECTION, "close")
        .header(CONTENT_TYPE, call.content_type)
        .header("X-Mangowalk-Team", call.team)
        .header("X-Request-Id", call.request_id);
    if let Some(key) = call.idempotency_key {
        request = request.header("Idempotency-Key", key);
    }
    request.body(Full::new(Bytes::copy_from_slice(call.body)))
}

/// Sends a request on a new connection, which ends with the answer.
async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<ServiceReply, SendError> {
    let stream = TcpStream::connect(address).await;
    let stream = stream.map_err(|error| connect_error(&error))?;
    let handshake = handshake(stream, &Arc::default()).await;
    let mut connection = handshake.map_err(|_| SendError::NotConnected)?;
    let response = connection.sender.send_request(request).await;
    let (parts, body) = response.map_err(|_| SendError::Lost)?.into_parts();
    let body = MeteredBody::new(body, connection.meter);
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let content_type = parts.headers.get(CONTENT_TYPE);
    Ok(ServiceReply {
        status: parts.status.as_u16(),
        content_type: content_type
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned(),
        body: body.map_err(|_| SendError::Lost)?.to_bytes().to_vec(),
    })
}

/// Only a refused connection shows that no byte of a request was sent.
fn connect_error(error: &io::Error) -> SendError {
    match error.kind() {
        ErrorKind::ConnectionRefused => SendError::NotConnected,
        ErrorKind::TimedOut => SendError::TimedOut,
        _ => SendError::Lost,
    }
}
