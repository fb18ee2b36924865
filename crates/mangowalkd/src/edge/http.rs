//! Functions that all HTTP client edges share.

use {
    super::MonotonicClock,
    mangowalk_core::{
        edge::{Clock, SendError},
        engine_notice::retry_after_ms,
    },
    std::{
        io::{ErrorKind, Read},
        panic::{AssertUnwindSafe, catch_unwind},
    },
};

const MS_PER_S: u64 = 1_000;

/// Maximum number of bytes that are read of an answer's body.
const MAX_BODY_BYTES: u64 = 16 << 20;

/// Prepares a request that is sent only once: redirects aren't followed, and the
/// connection is closed after the answer.
pub(super) fn prepare(request: minreq::Request, timeout_ms: u64) -> minreq::Request {
    request
        .with_follow_redirects(false)
        .with_header("Connection", "close")
        .with_timeout(timeout_ms.div_ceil(MS_PER_S).max(1))
}

/// Converts the error of a failed call to one that says how much is known of the
/// request.
///
/// Only a refused connection shows that nothing was sent. Every other failure
/// may have occurred after the first byte was sent.
pub(super) fn send_error(error: &minreq::Error) -> SendError {
    let minreq::Error::IoError(io) = error else {
        return SendError::Unreadable;
    };
    match io.kind() {
        ErrorKind::ConnectionRefused => SendError::NotConnected,
        ErrorKind::TimedOut | ErrorKind::WouldBlock => SendError::TimedOut,
        _ => SendError::Lost,
    }
}

/// Sends a request and reads the whole answer. Returns its status and body.
///
/// A body in chunks that breaks off can't be told from a complete one, so callers have to
/// parse it.
///
/// # Errors
///
/// Returns [`SendError::Lost`] if the connection closed without an answer, the answer makes the
/// HTTP library panic, or the body can't be read or hasn't the declared length. Returns the error of
/// [`send_error`] if the call failed.
pub(super) fn exchange(
    request: minreq::Request,
    timeout_ms: u64,
) -> Result<(u16, Vec<u8>), SendError> {
    // The HTTP library panics on some malformed answers: its count of the bytes of a head
    // wraps where lines end with a line feed alone.
    let exchanged = catch_unwind(AssertUnwindSafe(|| exchange_once(request, timeout_ms)));
    exchanged.unwrap_or(Err(SendError::Lost))
}

fn exchange_once(request: minreq::Request, timeout_ms: u64) -> Result<(u16, Vec<u8>), SendError> {
    let response = prepare(request, timeout_ms)
        .send_lazy()
        .map_err(|e| send_error(&e))?;
    check_answered(&response)?;
    let status = response.status_code;
    let expected = header(&response, "content-length").and_then(|v| v.parse::<usize>().ok());
    let mut body = Vec::new();
    response
        .take(MAX_BODY_BYTES)
        .read_to_end(&mut body)
        .map_err(|_| SendError::Lost)?;
    if expected.is_some_and(|length| length != body.len()) {
        return Err(SendError::Lost);
    }
    Ok((status, body))
}

/// Reason phrase that `minreq` reports, with status 503, if the connection closed
/// without an answer.
const NO_STATUS_LINE: &str = "Server did not provide a status line";

/// Returns [`SendError::Lost`] if the connection closed without an answer.
/// Without this check a lost reply would look like a refusal with status 503,
/// before anything ran.
pub(super) fn check_answered(response: &minreq::ResponseLazy) -> Result<(), SendError> {
    if response.reason_phrase == NO_STATUS_LINE {
        return Err(SendError::Lost);
    }
    Ok(())
}

/// Returns the time in milliseconds for which an upstream that refuses a request wants no
/// others; 0 if it doesn't say.
pub(super) fn asked_rest_ms(response: &minreq::ResponseLazy) -> u64 {
    let asks_for_rest = matches!(response.status_code, 429 | 503);
    let retry_after = header(response, "retry-after").filter(|_| asks_for_rest);
    let answered = header(response, "date");
    let wall_ms = MonotonicClock::default().wall_ms();
    retry_after_ms(retry_after.as_deref(), answered.as_deref(), wall_ms).unwrap_or(0)
}

fn header(response: &minreq::ResponseLazy, name: &str) -> Option<String> {
    response
        .headers
        .iter()
        .find(|(n, _)| n.eq_ignore_ascii_case(name))
        .map(|(_, v)| v.clone())
}
