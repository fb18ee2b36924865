/// Returns the requests to charge with a crash, out of all that were on the
/// upstream, each with its crashes so far.
///
/// Only the most suspect ones are charged. If all were, a request that
/// crashes upstreams would condemn whatever runs beside it: its neighbours
/// are resumed on other engines, where the same request follows them. The
/// first crash has no suspect and is charged to all, which condemns no one.
pub fn most_suspect(on_upstream: &[(u64, usize)]) -> Vec<u64> {
    let max_crashes = on_upstream.iter().map(|(_, crashes)| *crashes).max();
    on_upstream
        .iter()
        .filter(|(_, crashes)| Some(*crashes) == max_crashes)
        .map(|(request, _)| *request)
        .collect()
}
