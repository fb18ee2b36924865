use {
    crate::peer::InstanceView,
    rand::{SeedableRng, rngs::SmallRng, seq::SliceRandom},
    std::net::SocketAddr,
};

/// Maximum number of addresses in one answer. A caller needs a few for
/// failover; sending the whole fleet in each answer would cost more than the
/// requests.
pub const MAX_ADDRESSES: usize = 8;

/// Time to live of the address lists that callers receive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerTtlSettings {
    /// Time to live while more than half of the instances that stay are ready.
    pub ttl_ms: u64,
    /// Time to live otherwise, as while many instances start.
    pub starting_ttl_ms: u64,
}

impl Default for AnswerTtlSettings {
    fn default() -> AnswerTtlSettings {
        AnswerTtlSettings {
            ttl_ms: 10_000,
            starting_ttl_ms: 1_000,
        }
    }
}

/// Returns the caller addresses of instances in the order in which one caller
/// should try them: those of its failure domain first, each group shuffled by
/// the caller's seed. At most [`MAX_ADDRESSES`] are returned, and only
/// instances that are ready, not departing and not suspected.
///
/// Without the shuffle every caller would use the first address, and a fleet of
/// seven would have the capacity of one instance.
pub fn addresses_for_caller(
    instances: &[InstanceView],
    failure_domain: &str,
    caller_seed: u64,
) -> Vec<SocketAddr> {
    let mut random = SmallRng::seed_from_u64(caller_seed);
    let usable = |i: &&InstanceView| i.ready && !i.departing && !i.suspected;
    let (mut near, mut far): (Vec<&InstanceView>, Vec<&InstanceView>) = instances
        .iter()
        .filter(usable)
        .partition(|i| i.failure_domain == failure_domain);
    near.shuffle(&mut random);
    far.shuffle(&mut random);
    // The last entry is reserved for another failure domain, so that callers
    // can fail over when their own domain is down.
    if !far.is_empty() {
        near.truncate(MAX_ADDRESSES - 1);
    }
    near.iter()
        .chain(&far)
        .take(MAX_ADDRESSES)
        .map(|i| i.caller_address)
        .collect()
}

/// Returns the time for which a caller may cache an answer.
///
/// After many instances restart at the same time, an answer can name only the
/// first ones that are ready. With the usual time to live, all callers would
/// keep using these. With a short one, callers spread over the others as they
/// become ready.
pub fn answer_ttl_ms(settings: &AnswerTtlSettings, instances: &[InstanceView]) -> u64 {
    let usable = |i: &&InstanceView| i.ready && !i.departing && !i.suspected;
    let ready = instances.iter().filter(usable).count();
    let staying = instances.iter().filter(|i| !i.departing).count();
    if ready * 2 > staying {
        return settings.ttl_ms;
    }
    settings.starting_ttl_ms
}
