use {
    super::{
        HttpCall, event_loop::event_loop, open_connection::ends_with_connection,
        send::exchange_heads,
    },
    http::{HeaderMap, Request},
    http_body_util::{BodyExt, Full, Limited},
    hyper::body::Bytes,
    mangowalk_core::edge::SendError,
    std::{pin::pin, time::Duration},
    tokio::time::{Instant, timeout_at},
};

/// Interval at which it is checked whether the answer is still wanted.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A complete answer.
#[derive(Debug)]
pub struct FetchedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Sends a call to a host and port and waits for its complete answer, as long as it is wanted.
///
/// # Errors
///
/// Fails with [`SendError::NotConnected`] only if no byte was sent, with [`SendError::Lost`] if
/// the answer breaks off or is longer than `max_bytes`, and with [`SendError::TimedOut`] if the
/// timeout passes or `is_wanted` returns `false`. The connection is closed then.
///
/// # Panics
///
/// Panics if it is called in an asynchronous task.
pub fn fetch(
    authority: &str,
    call: &HttpCall<'_>,
    max_bytes: usize,
    timeout_ms: u64,
    is_wanted: &dyn Fn() -> bool,
) -> Result<FetchedAnswer, SendError> {
    let request = call.to_request(authority);
    let request = request.map_err(|_| SendError::NotConnected)?;
    let event_loop = event_loop().map_err(|_| SendError::NotConnected)?;
    let until = Instant::now() + Duration::from_millis(timeout_ms);
    event_loop.block_on(async {
        let mut exchanged = pin!(exchange(authority, request, max_bytes));
        loop {
            let check = until.min(Instant::now() + CHECK_INTERVAL);
            if let Ok(answer) = timeout_at(check, exchanged.as_mut()).await {
                return answer;
            }
            if Instant::now() >= until || !is_wanted() {
                return Err(SendError::TimedOut);
            }
        }
    })
}

async fn exchange(
    authority: &str,
    request: Request<Full<Bytes>>,
    max_bytes: usize,
) -> Result<FetchedAnswer, SendError> {
    let (mut connection, answer) = exchange_heads(authority, request).await?;
    let (parts, body) = answer.into_parts();
    let is_open_ended = ends_with_connection(&parts.headers, &body);
    let body = Limited::new(body, max_bytes).collect().await;
    let body = body.map_err(|_| SendError::Lost)?;
    if is_open_ended && connection.was_cut().await {
        return Err(SendError::Lost);
    }
    Ok(FetchedAnswer {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body: body.to_bytes(),
    })
}
