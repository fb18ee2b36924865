use mangowalk_core::admission::AdmissionProfile;

/// One of the users' deployments, at the sizes of today.
#[derive(Debug, Clone, PartialEq)]
pub struct Deployment {
    /// Name for the table.
    pub name: &'static str,
    /// Engines that serve the assistant.
    pub engines: usize,
    /// Entry instances.
    pub instances: usize,
    /// Failure domains.
    pub failure_domains: usize,
    /// Distance between two failure domains, there and back.
    pub cross_domain_rtt_us: u64,
    /// What counts most.
    pub favour: AdmissionProfile,
    /// Blocks of the level that a whole team shares.
    pub outer_blocks: usize,
    /// Blocks of the level below: a course, or a customer's history.
    pub inner_blocks: usize,
    /// Number of inner prefixes of each team.
    pub inner_count: usize,
    /// Blocks of what is new in each request.
    pub own_blocks: usize,
}

impl Deployment {
    /// Calloway & Daughters: shop notes, customer history, question.
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

    /// Atlas Jamal Formation: handbook, course, applicant.
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

/// Share of the capacity that each of the five teams may use: a few large.
pub(super) const TEAM_SHARES: [f64; 5] = [0.40, 0.30, 0.15, 0.10, 0.05];

/// Slots of an engine.
pub(super) const SLOTS: u32 = 16;

/// Time to compute a missed block of 64 tokens: 32,000 tokens a second.
pub(super) const MISS_US: u64 = 2_000;

/// Time to import a block of a kept piece.
pub(super) const IMPORT_US: u64 = 400;

/// Time of a block that is found.
pub(super) const HIT_US: u64 = 10;

/// Time between two tokens of an answer.
pub(super) const TOKEN_US: u64 = 12_000;

/// Mean tokens of an answer.
pub(super) const MEAN_ANSWER_TOKENS: u64 = 100;

/// Blocks that an engine's cache holds. At the load of the steady pattern it
/// turns over within seconds.
pub(super) const CACHE_BLOCKS: usize = 1_600;

/// Time that a caller waits for the first token.
pub(super) const FIRST_TOKEN_TIMEOUT_US: u64 = 10_000_000;

impl Deployment {
    /// Returns the requests a second that all slots can take if every prefix
    /// but each request's own blocks is found.
    pub(super) fn capacity_per_s(&self) -> f64 {
        let prefill_us = self.own_blocks as u64 * MISS_US;
        let service_us = MEAN_ANSWER_TOKENS * TOKEN_US + prefill_us;
        let by_slots = f64::from(SLOTS) * 1e6 / service_us as f64;
        self.engines as f64 * by_slots
    }
}
