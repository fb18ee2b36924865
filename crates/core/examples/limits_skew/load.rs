use {
    mangowalk_core::record::Rate,
    rand::{Rng, SeedableRng, rngs::StdRng},
};

const SEED: u64 = 20_261_202;

/// Fewest and most tokens that a request reserves.
const RESERVED_TOKENS: std::ops::Range<u64> = 200..4_000;

/// What callers of one team send.
pub(crate) struct Load {
    pub(crate) instances: usize,
    /// Tokens used in a second, in percent of the rate.
    pub(crate) offered_percent: u64,
    /// Share of the requests that one instance gets beyond its part.
    pub(crate) skew_percent: u32,
    pub(crate) span_ms: u64,
    pub(crate) rate: Rate,
}

impl Default for Load {
    fn default() -> Load {
        Load {
            instances: 7,
            offered_percent: 80,
            skew_percent: 0,
            span_ms: 60_000,
            rate: Rate {
                schema: 1,
                tokens_per_s: 50_000,
                burst_tokens: 200_000,
            },
        }
    }
}

/// One request.
pub(crate) struct Request {
    pub(crate) at_ms: u64,
    pub(crate) instance: usize,
    /// Tokens reserved: the prompt and the longest answer allowed.
    pub(crate) tokens: u64,
    pub(crate) used_tokens: u64,
    pub(crate) duration_ms: u64,
}

/// Returns requests at random times, with the same numbers each time.
pub(crate) fn arrivals(load: &Load) -> Vec<Request> {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mean_used = (RESERVED_TOKENS.start + RESERVED_TOKENS.end) as f64 / 2.0 * 0.75;
    let per_ms =
        load.rate.tokens_per_s as f64 * load.offered_percent as f64 / 100_000.0 / mean_used;
    let mut at_ms = 5_000.0;
    let mut requests = Vec::new();
    while at_ms < (load.span_ms + 5_000) as f64 {
        at_ms -= (1.0 - rng.random::<f64>()).ln() / per_ms;
        let tokens = rng.random_range(RESERVED_TOKENS);
        let is_skewed = rng.random_ratio(load.skew_percent, 100);
        let instance = if is_skewed {
            0
        } else {
            rng.random_range(0..load.instances)
        };
        requests.push(Request {
            at_ms: at_ms as u64,
            instance,
            tokens,
            used_tokens: tokens * rng.random_range(50..=100) / 100,
            duration_ms: rng.random_range(500..8_000),
        });
    }
    requests
}
