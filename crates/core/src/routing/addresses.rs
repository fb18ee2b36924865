use {crate::pool::rendezvous, std::net::SocketAddr};

/// Returns up to `max` of the addresses of instances for one caller, sorted.
///
/// `caller` is a hash of what identifies the caller. It gets the same addresses from
/// all instances and with each answer, and keeps its connections; an instance that
/// leaves is replaced by one other. Different callers get different addresses, so
/// that in a fleet of more than `max` instances all of them carry requests. If all
/// got the first ones, the rest would stay idle.
pub fn addresses_for_caller(
    mut addresses: Vec<SocketAddr>,
    caller: u64,
    max: usize,
) -> Vec<SocketAddr> {
    if addresses.len() > max {
        addresses.sort_by_cached_key(|address| rendezvous(caller, &address.to_string()));
        addresses.truncate(max);
    }
    addresses.sort_unstable();
    addresses
}
