use {
    super::base_url::BaseUrl,
    mangowalk_http_client::{HttpCall, send},
    serde::Deserialize,
};

/// Timeout of the request for the address list, in milliseconds.
const TIMEOUT_MS: u64 = 3_000;

/// Maximum number of bytes of the list.
const MAX_LIST_BYTES: usize = 1 << 20;

#[derive(Deserialize)]
struct Addresses {
    addresses: Vec<String>,
}

/// Returns the base URLs of the instances to try, nearest first, as the
/// instance at `url` lists them; `url` alone if the list is empty or can't be
/// read.
pub(super) fn instance_urls(url: &str) -> Vec<String> {
    match listed(url) {
        Some(listed) if !listed.is_empty() => {
            listed.iter().map(|a| format!("http://{a}")).collect()
        }
        _ => vec![url.trim_end_matches('/').to_owned()],
    }
}

fn listed(url: &str) -> Option<Vec<String>> {
    let url = BaseUrl::parse(url)?;
    let call = HttpCall {
        path: &url.path_of("/v1/addresses"),
        ..HttpCall::default()
    };
    let answer = send(&url.authority, &call, TIMEOUT_MS).ok()?;
    let (_, body) = answer.read_whole(MAX_LIST_BYTES).ok()?;
    let listed: Addresses = serde_json::from_slice(&body).ok()?;
    Some(listed.addresses)
}
