use {
    mangowalk_core::edge::SendError,
    mangowalk_http_client::{HttpCall, send},
    serde::de::DeserializeOwned,
    std::net::SocketAddr,
};

/// Timeout of a call to an instance, in milliseconds.
const TIMEOUT_MS: u64 = 3_000;

/// Maximum number of bytes of an answer.
const MAX_ANSWER_BYTES: usize = 16 << 20;

const OK: u16 = 200;

/// Calls an instance at its operator address, by POST if there is a body and by
/// GET otherwise, and returns its parsed answer.
///
/// # Errors
///
/// Returns the reason as text if the call failed, the status was not 200, or
/// the answer can't be parsed.
pub(crate) fn call<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    body: Option<&str>,
) -> Result<T, String> {
    let call = HttpCall {
        method: if body.is_some() { "POST" } else { "GET" },
        path,
        body: body.unwrap_or_default().as_bytes(),
        ..HttpCall::default()
    };
    let answer = send(&address.to_string(), &call, TIMEOUT_MS);
    let answer = answer.and_then(|answer| answer.read_whole(MAX_ANSWER_BYTES));
    let (status, body) = answer.map_err(reason)?;
    if status != OK {
        return Err(format!("it answered with status {status}"));
    }
    serde_json::from_slice(&body).map_err(|e| format!("its answer can't be read: {e}"))
}

fn reason(error: SendError) -> String {
    let reason = match error {
        SendError::NotConnected => "it refused the connection",
        SendError::TimedOut => "it did not answer in time",
        SendError::Unreadable => "its answer is no HTTP",
        _ => "its connection ended early",
    };
    reason.to_owned()
}
