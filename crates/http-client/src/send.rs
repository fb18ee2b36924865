use {
    super::{
        AnswerBody, HttpAnswer, HttpCall,
        event_loop::event_loop,
        open_connection::{OpenConnection, ends_with_connection},
    },
    http::{Request, Response},
    http_body_util::Full,
    hyper::body::Bytes,
    mangowalk_core::edge::SendError,
    mangowalk_gateway::{bounded::MeteredBody, upstreams::AnswerError},
    std::{
        io::{self, ErrorKind},
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        time::{Instant, timeout_at},
    },
};

/// Sends a call to a host and port and waits for the head of its answer. The timeout covers
/// the body, too.
///
/// # Errors
///
/// Fails with [`SendError::NotConnected`] only if no byte was sent.
///
/// # Panics
///
/// Panics if it is called in an asynchronous task.
pub fn send(
    authority: &str,
    call: &HttpCall<'_>,
    timeout_ms: u64,
) -> Result<HttpAnswer, SendError> {
    let request = call.to_request(authority);
    let request = request.map_err(|_| SendError::NotConnected)?;
    let event_loop = event_loop().map_err(|_| SendError::NotConnected)?;
    let until = Instant::now() + Duration::from_millis(timeout_ms);
    let answered = event_loop.block_on(async {
        let exchanged = timeout_at(until, exchange_heads(authority, request));
        exchanged.await.unwrap_or(Err(SendError::TimedOut))
    });
    let (connection, answer) = answered?;
    let (parts, body) = answer.into_parts();
    let is_open_ended = ends_with_connection(&parts.headers, &body);
    Ok(HttpAnswer {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body: AnswerBody::new(event_loop, body, until, connection, is_open_ended),
    })
}

/// Sends a request on a new connection and waits for the head of its answer.
pub(super) async fn exchange_heads(
    authority: &str,
    request: Request<Full<Bytes>>,
) -> Result<(OpenConnection, Response<MeteredBody>), SendError> {
    let stream = TcpStream::connect(authority).await;
    let stream = stream.map_err(|error| connect_error(&error))?;
    // Without it the rest of a long request could wait for a delayed acknowledgement.
    let without_delay = stream.set_nodelay(true);
    without_delay.map_err(|_| SendError::NotConnected)?;
    let connection = OpenConnection::new(stream).await;
    let mut connection = connection.map_err(|_| SendError::NotConnected)?;
    let answer = connection.0.send(request).await;
    let answer = answer.map_err(|error| head_error(&error))?;
    Ok((connection, answer))
}

/// Only a refused connection shows that no byte of a request was sent.
fn connect_error(error: &io::Error) -> SendError {
    match error.kind() {
        ErrorKind::ConnectionRefused => SendError::NotConnected,
        ErrorKind::TimedOut => SendError::TimedOut,
        _ => SendError::Lost,
    }
}

/// A head that ends early is lost; only one that is invalid or exceeds its bounds can't be read.
fn head_error(error: &AnswerError) -> SendError {
    match error.is_unreadable() {
        true => SendError::Unreadable,
        false => SendError::Lost,
    }
}
