//! Functions that all HTTP client edges share.

use {
    super::MonotonicClock,
    mangowalk_core::{
        edge::{Clock, SendError},
        engine_notice::retry_after_ms,
    },
    mangowalk_http_client::{HttpAnswer, HttpCall, send},
    std::net::SocketAddr,
};

/// Maximum number of bytes of an answer's body; a longer answer counts as lost.
pub(super) const MAX_BODY_BYTES: usize = 16 << 20;

/// Sends a call and reads the whole answer. Returns its status and body.
///
/// # Errors
///
/// Fails with [`SendError::NotConnected`] only if no byte was sent.
pub(super) fn exchange(
    address: SocketAddr,
    call: &HttpCall<'_>,
    timeout_ms: u64,
) -> Result<(u16, Vec<u8>), SendError> {
    send(&address.to_string(), call, timeout_ms)?.read_whole(MAX_BODY_BYTES)
}

/// Returns the time in milliseconds for which an upstream that refuses a request wants no
/// others; 0 if it doesn't say.
pub(super) fn asked_rest_ms(answer: &HttpAnswer) -> u64 {
    let asks_for_rest = matches!(answer.status, 429 | 503);
    let retry_after = answer.header("retry-after").filter(|_| asks_for_rest);
    let wall_ms = MonotonicClock::default().wall_ms();
    retry_after_ms(retry_after, answer.header("date"), wall_ms).unwrap_or(0)
}
