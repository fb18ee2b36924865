use mangowalk_core::admission::AdmissionProfile;

/// Present size and traffic of one of the users' deployments.
#[derive(Debug, Clone, PartialEq)]
pub struct Deployment {
    /// Name in the printed table.
    pub name: &'static str,
    /// Number of engines that serve the assistant model.
    pub engines: usize,
    /// Number of router instances.
    pub instances: usize,
    /// Number of failure domains, over which engines and instances are spread.
    pub failure_domains: usize,
    /// Round-trip time between two failure domains, in microseconds.
    pub cross_domain_rtt_us: u64,
    /// Objective that the router's admission favours.
    pub favour: AdmissionProfile,
    /// Blocks of the outer prefix, which all requests of a team share.
    pub outer_blocks: usize,
    /// Blocks of an inner prefix, such as a course or a customer's history.
    pub inner_blocks: usize,
    /// Number of inner prefixes of each team.
    pub inner_count: usize,
    /// Blocks that are unique to each request.
    pub own_blocks: usize,
}

impl Deployment {
    /// Calloway & Daughters. Prompts consist of shop notes, customer history and
    /// question.
    pub fn calloway() -> Deployment {
        Deployment {
            name: "Calloway",
            engines: 12,
            instances: 7,
            failure_domains: 4,
            cross_domain_rtt_us: 2_000,
            favour: AdmissionProfile::FirstToken,
            outer_blocks: 96,
            inner_blocks: 64,
            inner_count: 24,
            own_blocks: 6,
        }
    }

    /// Atlas Jamal Formation. Prompts consist of handbook, course and applicant.
    pub fn atlas_jamal() -> Deployment {
        Deployment {
            name: "Atlas Jamal",
            engines: 18,
            instances: 6,
            failure_domains: 4,
            cross_domain_rtt_us: 3_000,
            favour: AdmissionProfile::WorstTeam,
            outer_blocks: 160,
            inner_blocks: 40,
            inner_count: 8,
            own_blocks: 12,
        }
    }
}

/// Share of the capacity that each of the five teams may use; the first two are
/// large.
pub(super) const TEAM_SHARES: [f64; 5] = [0.40, 0.30, 0.15, 0.10, 0.05];

/// Number of slots of an engine.
pub(super) const SLOTS: u32 = 16;

/// Time to compute a block of 64 tokens that is not cached: 32,000 tokens per
/// second.
pub(super) const MISS_US: u64 = 2_000;

/// Time to import a block from the KV cache store.
pub(super) const IMPORT_US: u64 = 400;

/// Prefill time of a block that is cached.
pub(super) const HIT_US: u64 = 10;

/// Time between two tokens of an answer.
pub(super) const TOKEN_US: u64 = 12_000;

/// Mean length of an answer, in tokens.
pub(super) const MEAN_ANSWER_TOKENS: u64 = 100;

/// Capacity of an engine's prefix cache, in blocks. Under the steady pattern its
/// content is replaced within seconds.
pub(super) const CACHE_BLOCKS: usize = 1_600;

/// Time after which a caller without a first token disconnects.
pub(super) const FIRST_TOKEN_TIMEOUT_US: u64 = 10_000_000;

impl Deployment {
    /// Returns the requests per second that all slots can serve if only the own
    /// blocks of each request have to be computed.
    pub(super) fn capacity_per_s(&self) -> f64 {
        let prefill_us = self.own_blocks as u64 * MISS_US;
        let service_us = MEAN_ANSWER_TOKENS * TOKEN_US + prefill_us;
        let by_slots = f64::from(SLOTS) * 1e6 / service_us as f64;
        self.engines as f64 * by_slots
    }
}
