/// Returns the requests to which a crash is attributed, out of all requests
/// that ran on the upstream. `on_upstream` holds each request with its number
/// of crashes so far.
///
/// A crash is attributed only to the requests with the most crashes. If it were
/// attributed to all, a request that crashes upstreams would get the requests
/// that run next to it refused as well: they are resumed on other engines, and
/// the same request is sent there too. The first crash is attributed to all
/// requests, since none has a crash yet; one crash gets no request refused.
pub fn most_suspect(on_upstream: &[(u64, usize)]) -> Vec<u64> {
    let max_crashes = on_upstream.iter().map(|(_, crashes)| *crashes).max();
    on_upstream
        .iter()
        .filter(|(_, crashes)| Some(*crashes) == max_crashes)
        .map(|(request, _)| *request)
        .collect()
}
