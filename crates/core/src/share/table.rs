use {
    super::{RateShare, ShareSettings},
    crate::routing::Tenant,
    std::collections::HashMap,
};

/// Time over which demand is averaged.
///
/// Short, so that shares follow a team whose callers move within a second or
/// two; long against the period of exchange, so that one large prompt does
/// not swing them.
const DEMAND_MS: f64 = 2_000.0;

/// Tokens a second that an instance was asked for by one team.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Demand {
    per_s: f64,
    updated_ms: u64,
}

impl Demand {
    /// Counts tokens that were asked for, granted or not.
    pub fn add(&mut self, tokens: f64, now_ms: u64) {
        self.per_s = self.at(now_ms) + tokens * 1000.0 / DEMAND_MS;
        self.updated_ms = now_ms;
    }

    /// Returns the demand at a time.
    pub fn at(&self, now_ms: u64) -> f64 {
        let passed = now_ms.saturating_sub(self.updated_ms) as f64;
        self.per_s * (-passed / DEMAND_MS).exp()
    }
}

/// This instance's share of every team's rate.
#[derive(Debug, Default)]
pub struct ShareTable {
    settings: ShareSettings,
    shares: HashMap<String, RateShare>,
    demands: HashMap<String, Demand>,
    fractions: HashMap<String, f64>,
}

impl ShareTable {
    /// Returns this instance's demand by team, for its peers.
    pub fn demands(&self, now_ms: u64) -> Vec<(String, f64)> {
        let mut all: Vec<_> = self
            .demands
            .iter()
            .map(|(team, demand)| (team.clone(), demand.at(now_ms)))
            .collect();
        all.sort_by(|a, b| a.0.cmp(&b.0));
        all
    }

    /// Divides the rates anew.
    ///
    /// `peers` holds the last demand known of each other instance that may be
    /// serving, also of those that are silent: what a silent one may spend
    /// stays set aside for it. `in_touch` is false while some peer is silent;
    /// then this instance's own fractions don't grow, since a peer behind a
    /// partition may be growing the same way, and together they would pass
    /// the rate.
    pub fn divide(
        &mut self,
        tenants: &[Tenant],
        peers: &[HashMap<String, f64>],
        in_touch: bool,
        now_ms: u64,
    ) {
        let instances = (peers.len() + 1) as f64;
        for tenant in tenants {
            let Some(rate) = tenant.rate else {
                self.shares.remove(&tenant.name);
                continue;
            };
            let own = self.demands.get(&tenant.name).map_or(0.0, |d| d.at(now_ms));
            let others: f64 = peers.iter().filter_map(|peer| peer.get(&tenant.name)).sum();
            let even = 1.0 / instances;
            let by_demand = if own + others > 1.0 {
                own / (own + others)
            } else {
                even
            };
            let mut fraction = self.settings.even * even + (1.0 - self.settings.even) * by_demand;
            if !in_touch {
                let before = self.fractions.get(&tenant.name).copied();
                fraction = fraction.min(before.unwrap_or(even));
            }
            self.fractions.insert(tenant.name.clone(), fraction);
            self.shares
                .entry(tenant.name.clone())
                .and_modify(|share| share.adjust(rate, fraction, now_ms))
                .or_insert_with(|| RateShare::new(self.settings, rate, fraction, now_ms));
        }
    }

    /// Takes a request's cost of its team's share.
    ///
    /// # Errors
    ///
    /// Returns the wait in milliseconds where there isn't enough.
    pub fn take(&mut self, tenant: &Tenant, cost: u64, now_ms: u64) -> Result<(), u64> {
        self.demands
            .entry(tenant.name.clone())
            .or_default()
            .add(cost as f64, now_ms);
        let Some(rate) = tenant.rate else {
            return Ok(());
        };
        let fraction = self.fractions.get(&tenant.name).copied().unwrap_or(0.0);
        self.shares
            .entry(tenant.name.clone())
            .or_insert_with(|| RateShare::new(self.settings, rate, fraction, now_ms))
            .take(cost as f64, now_ms)
    }

    /// Gives back the cost of a request that did not run.
    pub fn give_back(&mut self, tenant: &Tenant, cost: u64) {
        if let Some(share) = self.shares.get_mut(&tenant.name) {
            share.give_back(cost as f64);
        }
    }
}
