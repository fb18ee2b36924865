use {serde::de::DeserializeOwned, std::net::SocketAddr};

/// Time that an instance has to answer, in seconds.
const TIMEOUT_S: u64 = 3;

const OK: u16 = 200;

/// Asks an instance's operator edge, with a body or without.
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
        .send()
        .map_err(|e| e.to_string())?;
    if reply.status_code != OK {
        return Err(format!("it answered with status {}", reply.status_code));
    }
    serde_json::from_slice(reply.as_bytes()).map_err(|e| format!("its answer can't be read: {e}"))
}
