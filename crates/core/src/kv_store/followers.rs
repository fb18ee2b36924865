use {crate::pool::rendezvous, std::collections::BTreeMap};

/// Seed of the hash by which followers are chosen, so that they are other instances
/// than those that are first by name, which have other duties.
const FOLLOWER_SEED: u64 = 0x6b76_5f73_746f_7265;

/// An instance that may follow the KV cache stores.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Name of the instance.
    pub name: &'a str,
    /// Its failure domain.
    pub domain: &'a str,
}

/// Returns the failure domains to whose instances the instance `own` reports the
/// changes of the KV cache stores. It follows the stores if there are any.
///
/// One live instance of each failure domain follows, by rendezvous hash, so that
/// reports stay within the domain. With more domains than `max_followers`, the
/// followers of the first ones by name serve the others too. While instances
/// disagree on who is live, a domain may have two followers or none for a moment;
/// reports can be applied twice.
pub fn served_domains<'a>(
    own: &str,
    live: impl Iterator<Item = Candidate<'a>>,
    max_followers: usize,
) -> Vec<&'a str> {
    let mut followers: BTreeMap<&str, (u64, &str)> = BTreeMap::new();
    for candidate in live {
        let ranked = (rendezvous(FOLLOWER_SEED, candidate.name), candidate.name);
        let follower = followers.entry(candidate.domain).or_insert(ranked);
        *follower = ranked.min(*follower);
    }
    let names: Vec<&str> = followers.values().map(|(_, name)| *name).collect();
    let count = names.len().min(max_followers).max(1);
    followers
        .into_keys()
        .enumerate()
        .filter(|(index, _)| names[index % count] == own)
        .map(|(_, domain)| domain)
        .collect()
}
