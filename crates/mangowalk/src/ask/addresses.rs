use {serde::Deserialize, std::io::Read};

/// Timeout of the request for the address list, in seconds.
const TIMEOUT_S: u64 = 3;

/// Maximum number of bytes that are read of the list.
const MAX_LIST_BYTES: u64 = 1 << 20;

#[derive(Deserialize)]
struct Addresses {
    addresses: Vec<String>,
}

/// Returns the base URLs of the instances to try, nearest first, as the
/// instance at `url` lists them; `url` alone if the list is empty or can't be
/// read.
pub(super) fn instance_urls(url: &str) -> Vec<String> {
    let url = url.trim_end_matches('/');
    let listed = minreq::get(format!("{url}/v1/addresses"))
        .with_timeout(TIMEOUT_S)
        .with_follow_redirects(false)
        .send_lazy()
        .ok()
        .and_then(|reply| serde_json::from_reader::<_, Addresses>(reply.take(MAX_LIST_BYTES)).ok())
        .map(|reply| reply.addresses)
        .unwrap_or_default();
    if listed.is_empty() {
        return vec![url.to_owned()];
    }
    listed.iter().map(|a| format!("http://{a}")).collect()
}
