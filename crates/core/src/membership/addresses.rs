use {
    crate::peer::InstanceView,
    rand::{SeedableRng, rngs::SmallRng, seq::SliceRandom},
    std::net::SocketAddr,
};

/// Most addresses in one answer. A caller needs a few to fail over; the whole
/// fleet in each answer would cost more than the requests.
pub const MAX_ADDRESSES: usize = 8;

/// How long callers keep an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerTtlSettings {
    /// Time for which an answer is kept in a fleet that is whole.
    pub ttl_ms: u64,
    /// Time for which it is kept while instances start.
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

/// Returns instances in the order in which one caller should try them: those
/// of the failure domain first, each group shuffled by the caller's seed.
///
/// Without the shuffle every caller would use the first one, and a fleet of
/// seven would serve like one.
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
    // The last place is kept for another failure domain, so that a caller
    // outlives its own.
    if !far.is_empty() {
        near.truncate(MAX_ADDRESSES - 1);
    }
    near.iter()
        .chain(&far)
        .take(MAX_ADDRESSES)
        .map(|i| i.caller_address)
        .collect()
}

/// Returns for how long a caller may keep an answer.
///
/// After a restart of many, the first ones ready are all that the answer can
/// name. Kept for the usual time, it would send every caller to them; kept
/// for a moment, the callers spread as others become ready.
pub fn answer_ttl_ms(settings: &AnswerTtlSettings, instances: &[InstanceView]) -> u64 {
    let usable = |i: &&InstanceView| i.ready && !i.departing && !i.suspected;
    let ready = instances.iter().filter(usable).count();
    let staying = instances.iter().filter(|i| !i.departing).count();
    if ready * 2 > staying {
        return settings.ttl_ms;
    }
    settings.starting_ttl_ms
}
