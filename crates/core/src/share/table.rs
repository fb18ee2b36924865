use {
    super::{Demand, FleetBucket, Standing},
    crate::{pool::rendezvous, routing::Tenant},
    std::collections::HashMap,
};

/// How rates behave where little is known.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareSettings {
    /// Part of the burst that an instance believes in at most while it is new.
    /// It begins with nothing: it can't know what was spent before, and
    /// whatever it began with would be handed out again at each restart.
    pub new_most: f64,
    /// Time after the start in which instances that were listed and are not
    /// heard yet are counted. Those that live are heard within two heartbeats;
    /// a lone survivor would go on refusing its callers for those that left.
    pub expect_ms: u64,
    /// Time after the start in which the levels of peers are taken over.
    pub learn_ms: u64,
    /// Part of a share that goes evenly to all instances, so that one whose
    /// first caller comes has something to give.
    pub even: f64,
    /// Tokens by which all instances together may overdraw a team's bucket for
    /// a moment. With more of them, fewer instances have to take turns.
    pub slack_tokens: f64,
    /// Part of the largest demand at one instance from which on an instance
    /// counts as asked by a team. Demand halves in about a second and a half, so
    /// one that isn't asked any more loses its turn within five.
    pub asked: f64,
}

impl Default for ShareSettings {
    fn default() -> ShareSettings {
        ShareSettings {
            new_most: 0.3,
            expect_ms: 800,
            learn_ms: 2_000,
            even: 0.4,
            slack_tokens: 0.0,
            asked: 0.1,
        }
    }
}

/// What a peer tells of one team.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerSpending {
    /// Tokens spent since the peer's start.
    pub spent: f64,
    /// Tokens in the bucket, as the peer estimates.
    pub level: f64,
    /// Tokens a second asked for there.
    pub demand_per_s: f64,
}

#[derive(Debug, Default)]
struct Peer {
    incarnation: u64,
    is_heard: bool,
    teams: HashMap<String, PeerSpending>,
}

#[derive(Debug, Default)]
struct Own {
    spent: f64,
    demand: Demand,
}

/// Every team's bucket, as this instance estimates it.
#[derive(Debug, Default)]
pub struct ShareTable {
    name: String,
    settings: ShareSettings,
    buckets: HashMap<String, FleetBucket>,
    own: HashMap<String, Own>,
    peers: HashMap<String, Peer>,
    started_ms: Option<u64>,
    expected: usize,
}

impl ShareTable {
    /// Returns the table of an instance that knows nothing yet.
    pub fn new(name: &str, settings: ShareSettings) -> ShareTable {
        ShareTable {
            name: name.to_owned(),
            settings,
            ..ShareTable::default()
        }
    }

    /// Returns what this instance tells its peers of each team.
    pub fn spending(&self, now_ms: u64) -> Vec<(String, PeerSpending)> {
        let mut all: Vec<_> = self
            .own
            .iter()
            .map(|(team, own)| {
                let level = self.buckets.get(team).map_or(0.0, FleetBucket::level);
                let told = PeerSpending {
                    spent: own.spent,
                    level,
                    demand_per_s: own.demand.at(now_ms),
                };
                (team.clone(), told)
            })
            .collect();
        all.sort_by(|a, b| a.0.cmp(&b.0));
        all
    }

    /// Takes over teams and rates of a configuration.
    pub fn configure(&mut self, tenants: &[Tenant], now_ms: u64) {
        self.started_ms.get_or_insert(now_ms);
        for tenant in tenants {
            self.own.entry(tenant.name.clone()).or_default();
            let Some(rate) = tenant.rate else {
                self.buckets.remove(&tenant.name);
                continue;
            };
            self.buckets
                .entry(tenant.name.clone())
                .and_modify(|bucket| bucket.set_rate(rate))
                .or_insert_with(|| FleetBucket::empty(rate, self.settings.slack_tokens, now_ms));
        }
        let known = |team: &str| tenants.iter().any(|tenant| tenant.name == team);
        self.buckets.retain(|team, _| known(team));
        self.own.retain(|team, _| known(team));
    }

    /// Takes over what a peer tells.
    pub fn hear(
        &mut self,
        peer: &str,
        incarnation: u64,
        teams: HashMap<String, PeerSpending>,
        now_ms: u64,
    ) {
        let learning = self.is_learning(now_ms);
        let known = self.peers.entry(peer.to_owned()).or_default();
        let same = known.incarnation == incarnation;
        for (team, told) in &teams {
            let Some(bucket) = self.buckets.get_mut(team) else {
                continue;
            };
            let before = known.teams.get(team).filter(|_| same);
            match before {
                Some(before) => bucket.spent_elsewhere((told.spent - before.spent).max(0.0)),
                None if learning => bucket.lower_to(told.level),
                None => bucket.spent_elsewhere(told.spent),
            }
        }
        *known = Peer {
            incarnation,
            is_heard: true,
            teams,
        };
    }

    /// Notes how many instances there may be, heard or not. A new instance
    /// that hears none yet must not take itself for the only one: after a loss
    /// of power all of them would spend the same tokens at once.
    pub fn set_expected(&mut self, instances: usize) {
        self.expected = instances;
    }

    /// Notes which peers are heard, and forgets those that are gone.
    pub fn peers(&mut self, mut heard: impl FnMut(&str) -> Option<bool>) {
        self.peers.retain(|name, peer| match heard(name) {
            Some(is_heard) => {
                peer.is_heard = is_heard;
                true
            }
            None => false,
        });
    }

    /// Takes a request's cost of its team's rate.
    ///
    /// # Errors
    ///
    /// Returns the wait in milliseconds where there isn't enough.
    pub fn take(&mut self, tenant: &Tenant, cost: u64, now_ms: u64) -> Result<(), u64> {
        let cost = cost as f64;
        let own = self.own.entry(tenant.name.clone()).or_default();
        own.demand.add(cost, now_ms);
        let standing = self.standing(&tenant.name, now_ms);
        let is_learning = self.is_learning(now_ms);
        if let Some(bucket) = self.buckets.get_mut(&tenant.name) {
            if is_learning {
                bucket.lower_to_part(self.settings.new_most * standing.heard);
            }
            bucket.take(cost, standing, now_ms)?;
        }
        self.own.entry(tenant.name.clone()).or_default().spent += cost;
        Ok(())
    }

    /// Returns the tokens that a team has left, as this instance estimates.
    pub fn level(&self, team: &str) -> Option<f64> {
        self.buckets.get(team).map(FleetBucket::level)
    }

    /// Gives back the cost of a request that did not run.
    ///
    /// Peers are not told: what they have subtracted comes back by time. A
    /// count that goes down would look like a restart.
    pub fn give_back(&mut self, tenant: &Tenant, cost: u64) {
        if let Some(bucket) = self.buckets.get_mut(&tenant.name) {
            bucket.give_back(cost as f64);
        }
    }

    /// Returns whether little is known yet of what others spend.
    fn is_learning(&self, now_ms: u64) -> bool {
        self.started_ms
            .is_none_or(|started_ms| now_ms < started_ms + self.settings.learn_ms)
    }

    fn standing(&self, team: &str, now_ms: u64) -> Standing {
        let expects = self
            .started_ms
            .is_none_or(|started_ms| now_ms < started_ms + self.settings.expect_ms);
        let expected = if expects { self.expected } else { 0 };
        let instances = (self.peers.len() + 1).max(expected) as f64;
        let heard = self.peers.values().filter(|peer| peer.is_heard).count() + 1;
        let own = self.own.get(team).map_or(0.0, |own| own.demand.at(now_ms));
        let others: f64 = self
            .peers
            .values()
            .filter_map(|peer| peer.teams.get(team))
            .map(|told| told.demand_per_s)
            .sum();
        let even = 1.0 / instances;
        let by_demand = if own + others > 1.0 {
            own / (own + others)
        } else {
            even
        };
        Standing {
            heard: heard as f64 / instances,
            demand: self.settings.even * even + (1.0 - self.settings.even) * by_demand,
            before: self.before(team, own),
        }
    }

    /// Returns how many instances that a team asks too have their turn before
    /// this one. All instances that have heard of the same spending work out the
    /// same order, and each spending changes it.
    fn before(&self, team: &str, own_per_s: f64) -> usize {
        let peers = self.peers.iter();
        let told = peers.filter_map(|(name, peer)| Some((name, peer.teams.get(team)?)));
        let demands = told.clone().map(|(_, told)| told.demand_per_s);
        let asked_per_s = self.settings.asked * demands.fold(own_per_s, f64::max);
        let own_spent = self.own.get(team).map_or(0.0, |own| own.spent);
        let spent: f64 = told.clone().map(|(_, told)| told.spent).sum();
        let seed = rendezvous((own_spent + spent) as u64, team);
        let own_turn = rendezvous(seed, &self.name);
        told.filter(|(_, told)| told.demand_per_s >= asked_per_s)
            .filter(|(name, _)| rendezvous(seed, name) < own_turn)
            .count()
    }
}
