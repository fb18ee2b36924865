use {
    super::{
        Deployment, Pattern,
        deployment::{MEAN_ANSWER_TOKENS, TEAM_SHARES},
        request::Request,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
};

/// Number of callers of each team.
const CALLERS: u64 = 24;

/// Time for which a caller uses the same instance.
const ADDRESS_TTL_US: u64 = 10_000_000;

/// Burst of a team, in seconds of its rate.
const BURST_S: f64 = 6.0;

/// Returns the requests of one run in the order of arrival, with their positions
/// as IDs.
pub(super) fn workload(
    deployment: &Deployment,
    pattern: Pattern,
    seed: u64,
    length_us: u64,
) -> Vec<Request> {
    let mut requests: Vec<Request> = (0..TEAM_SHARES.len())
        .flat_map(|team| Team::new(deployment, pattern, team, seed).requests(length_us))
        .collect();
    requests.sort_by_key(|r| r.at_us);
    for (id, request) in requests.iter_mut().enumerate() {
        request.id = id as u64;
    }
    requests
}

/// Generator of one team's requests.
struct Team<'a> {
    deployment: &'a Deployment,
    pattern: Pattern,
    team: usize,
    rng: SmallRng,
    /// Tokens in the team's token bucket at `filled_us`.
    bucket_tokens: f64,
    filled_us: u64,
}

impl<'a> Team<'a> {
    fn new(deployment: &'a Deployment, pattern: Pattern, team: usize, seed: u64) -> Team<'a> {
        let mut team = Team {
            deployment,
            pattern,
            team,
            rng: SmallRng::seed_from_u64(seed * 31 + team as u64),
            bucket_tokens: 0.0,
            filled_us: 0,
        };
        team.bucket_tokens = team.tokens_per_s() * BURST_S;
        team
    }

    /// Returns the team's rate in tokens per second: its share of the capacity
    /// at the mean size of a request.
    fn tokens_per_s(&self) -> f64 {
        let d = self.deployment;
        let blocks = d.outer_blocks + d.inner_blocks + d.own_blocks;
        let tokens = blocks as f64 * 64.0 + MEAN_ANSWER_TOKENS as f64;
        TEAM_SHARES[self.team] * d.capacity_per_s() * tokens
    }

    /// Generates requests with exponentially distributed intervals.
    fn requests(&mut self, length_us: u64) -> Vec<Request> {
        let mut requests = Vec::new();
        let mut at_us = 0;
        loop {
            let share = TEAM_SHARES[self.team];
            let load = self.pattern.load(self.team, share, at_us);
            let per_us = load * self.deployment.capacity_per_s() / 1e6;
            let draw: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
            at_us += (-draw.ln() / per_us) as u64;
            if at_us >= length_us {
                return requests;
            }
            let request = self.request(at_us);
            requests.push(request);
        }
    }

    fn request(&mut self, at_us: u64) -> Request {
        let d = self.deployment;
        let long = self.pattern == Pattern::LongAmongShort && self.rng.random_ratio(1, 10);
        let inner = self.draw_inner(at_us);
        let own_blocks = if long { d.own_blocks * 8 } else { d.own_blocks };
        let outer_digest = hash_pair(self.team as u64, 1);
        let inner_digest = hash_pair(outer_digest, inner + 2);
        let own_digest = self.rng.random();
        let chain = (0..d.outer_blocks)
            .map(|i| hash_pair(outer_digest, i as u64))
            .chain((0..d.inner_blocks).map(|i| hash_pair(inner_digest, i as u64)))
            .chain((0..own_blocks).map(|i| hash_pair(own_digest, i as u64)))
            .collect();
        let mut request = Request {
            id: 0,
            team: self.team,
            instance: self.draw_instance(at_us),
            at_us,
            chain,
            shared_blocks: d.outer_blocks + d.inner_blocks,
            answer_tokens: self.draw_answer_tokens(long),
            in_rate: true,
        };
        request.in_rate = self.take_tokens(request.tokens(), at_us);
        request
    }

    fn draw_answer_tokens(&mut self, long: bool) -> u64 {
        let min_tokens = MEAN_ANSWER_TOKENS / 2;
        let tokens = self
            .rng
            .random_range(min_tokens..=MEAN_ANSWER_TOKENS + min_tokens);
        // Long answers don't lower the arrival rate, so the pattern brings more
        // work than `Pattern::load` states.
        if long { tokens * 8 } else { tokens }
    }

    /// Draws an inner prefix; those with lower numbers are more frequent.
    fn draw_inner(&mut self, at_us: u64) -> u64 {
        let count = self.deployment.inner_count as u64;
        let hot = match self.pattern {
            Pattern::HotKey => Some(1),
            Pattern::ShiftingHotPrefix => Some(at_us / 5_000_000 % count),
            _ => None,
        };
        if let Some(hot) = hot
            && self.rng.random_ratio(1, 2)
        {
            return hot;
        }
        let draw: f64 = self.rng.random();
        (draw * draw * count as f64) as u64
    }

    /// Draws a caller and returns the instance that it uses at this time.
    fn draw_instance(&mut self, at_us: u64) -> usize {
        let instances = self.deployment.instances as u64;
        let hot = self.pattern == Pattern::HotCaller && self.team == 2;
        if hot && self.rng.random_ratio(7, 10) {
            return 0;
        }
        let caller = self.rng.random_range(0..CALLERS);
        let epoch = hash_pair(caller, at_us / ADDRESS_TTL_US + self.team as u64 * 1_000);
        (epoch % instances) as usize
    }

    /// Refills the token bucket and takes tokens from it. Returns whether there
    /// were enough.
    fn take_tokens(&mut self, tokens: u64, at_us: u64) -> bool {
        let rate = self.tokens_per_s();
        let filled = (at_us - self.filled_us) as f64 / 1e6 * rate;
        self.filled_us = at_us;
        self.bucket_tokens = (self.bucket_tokens + filled).min(rate * BURST_S);
        let fits = self.bucket_tokens >= tokens as f64;
        if fits {
            self.bucket_tokens -= tokens as f64;
        }
        fits
    }
}

/// Hashes two numbers with the finalizer of SplitMix64.
fn hash_pair(a: u64, b: u64) -> u64 {
    let mut z = a ^ b.wrapping_add(1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}
