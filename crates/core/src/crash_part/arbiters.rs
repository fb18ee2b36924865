use crate::pool::{rendezvous, short_hash};

/// Returns the `count` instances that decide on the parts of a service.
///
/// Instances that leave move up those behind them and nothing else.
pub fn arbiters<'a>(
    service: &str,
    instances: impl Iterator<Item = &'a str>,
    count: usize,
) -> Vec<&'a str> {
    let service = u64::from(short_hash(service));
    let mut ranked: Vec<(u64, &str)> = instances
        .map(|name| (rendezvous(service, name), name))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, name)| name).collect()
}

/// Returns whether an instance is the one among all live ones that tries a part again
/// after its term.
pub fn is_trial_instance<'a>(
    part: u64,
    own_name: &str,
    mut peers: impl Iterator<Item = &'a str>,
) -> bool {
    let own = rendezvous(part, own_name);
    peers.all(|name| rendezvous(part, name) <= own)
}
