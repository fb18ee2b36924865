use {
    serde::de::DeserializeOwned,
    std::{io::Read, net::SocketAddr},
};

/// Timeout of a call to an instance, in seconds.
const TIMEOUT_S: u64 = 3;

/// Maximum number of bytes that are read of an answer.
const MAX_ANSWER_BYTES: u64 = 16 << 20;

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
    let url = format!("http://{address}{path}");
    let request = match body {
        Some(body) => minreq::post(url).with_body(body),
        None => minreq::get(url),
    };
    let reply = request
        .with_timeout(TIMEOUT_S)
        .with_follow_redirects(false)
        .with_header("Connection", "close")
        .send_lazy()
        .map_err(|e| e.to_string())?;
    if reply.status_code != OK {
        return Err(format!("it answered with status {}", reply.status_code));
    }
    let mut body = Vec::new();
    let read = reply.take(MAX_ANSWER_BYTES).read_to_end(&mut body);
    read.map_err(|e| e.to_string())?;
    serde_json::from_slice(&body).map_err(|e| format!("its answer can't be read: {e}"))
}
