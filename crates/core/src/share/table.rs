use {
    super::{FleetBucket, InstanceShare},
    crate::{demand::Demand, pool::rendezvous, routing::Tenant},
    std::collections::HashMap,
};

/// How rates behave where little is known.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareSettings {
    /// Part of the burst that an instance believes in at most while it is new.
    /// It begins with nothing: it can't know what was spent before, and
    /// whatever it began with would be handed out again at each restart.
    pub initial_burst_fraction: f64,
    /// Time after the start in which instances that were listed and are not
    /// heard yet are counted. Those that live are heard within two heartbeats;
    /// a lone survivor would go on refusing its callers for those that left.
    pub expected_instances_ms: u64,
    /// Time after the start in which little is known of what others spend, unless
    /// a peer that knows it was heard.
    pub learning_ms: u64,
    /// Difference of two instances' times since their start up to which they
    /// count as started together. Machines that come back at once differ by some
    /// hundred milliseconds.
    pub simultaneous_start_ms: u64,
    /// Time since a peer's start up to which all that it spent is recent. Longer
    /// than heartbeats take to find a new one, shorter than a bucket takes to fill.
    pub recent_start_ms: u64,
    /// Part of the rates that an instance takes at most that has just started and
    /// hears less than half of the others.
    pub isolated_fraction: f64,
    /// Time after the start for which it does: a window of rates.
    pub rate_window_ms: u64,
    /// Part of a share that goes evenly to all instances, so that one whose
    /// first caller comes has something to give.
    pub even_fraction: f64,
    /// Tokens by which all instances together may overdraw a team's bucket for
    /// a moment. With more of them, fewer instances have to take turns.
    pub slack_tokens: f64,
    /// Part of the largest demand at one instance from which on an instance
    /// counts as asked by a team. Demand halves in about a second and a half, so
    /// one that isn't asked any more loses its turn within five.
    pub active_demand_fraction: f64,
}

impl Default for ShareSettings {
    fn default() -> ShareSettings {
        ShareSettings {
            initial_burst_fraction: 0.3,
            expected_instances_ms: 800,
            learning_ms: 2_000,
            simultaneous_start_ms: 1_000,
            recent_start_ms: 6_000,
            isolated_fraction: 0.33,
            rate_window_ms: 8_000,
            even_fraction: 0.4,
            slack_tokens: 0.0,
            active_demand_fraction: 0.1,
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

/// What a peer tells of all teams.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct PeerReport {
    /// Its start.
    pub incarnation: u64,
    /// Time since its start.
    pub up_ms: u64,
    /// Instances that it counts, heard or not, itself included.
    pub instances: usize,
    /// Time for which that count still holds.
    pub count_valid_ms: u64,
    /// Whether it knows what was spent, as it isn't new or has learned it.
    pub knows_spending: bool,
    /// What it tells, by team.
    pub teams: HashMap<String, PeerSpending>,
}

#[derive(Debug, Default)]
struct Peer {
    incarnation: u64,
    is_reachable: bool,
    teams: HashMap<String, PeerSpending>,
}

#[derive(Debug, Default)]
struct OwnSpending {
    spent: f64,
    demand: Demand,
}

/// Every team's bucket, as this instance estimates it.
#[derive(Debug, Default)]
pub struct ShareTable {
    name: String,
    settings: ShareSettings,
    buckets: HashMap<String, FleetBucket>,
    own: HashMap<String, OwnSpending>,
    peers: HashMap<String, Peer>,
    started_ms: Option<u64>,
    /// Whether a peer was heard that knows what was spent before the start.
    has_learned: bool,
    expected_instances: usize,
    /// Most instances that a peer counts, and until when that holds.
    max_peer_count: Option<PeerCount>,
}

#[derive(Debug, Clone, Copy)]
struct PeerCount {
    instances: usize,
    until_ms: u64,
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
                let spending = PeerSpending {
                    spent: own.spent,
                    level,
                    demand_per_s: own.demand.at(now_ms),
                };
                (team.clone(), spending)
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
    ///
    /// An instance that is new takes over the levels of the first peer that knows
    /// them: they are the same buckets, and that peer will spend by them too. With
    /// the lowest of all levels instead, a rolling restart would lower them with
    /// each instance, and teams within their rate would be refused.
    pub fn receive_report(&mut self, peer: &str, report: PeerReport, now_ms: u64) {
        // Before the configuration is known there are no levels to take over; the
        // next heartbeat brings them.
        let is_configured = self.started_ms.is_some();
        let copies_levels = is_configured && report.knows_spending && self.is_learning(now_ms);
        self.has_learned |= copies_levels;
        let until_ms = now_ms + report.count_valid_ms;
        self.record_peer_count(report.instances, until_ms, now_ms);
        let is_already_counted = self.is_already_counted(&report, now_ms);
        let known = self.peers.entry(peer.to_owned()).or_default();
        let is_same_process = known.incarnation == report.incarnation;
        for (team, spending) in &report.teams {
            let Some(bucket) = self.buckets.get_mut(team) else {
                continue;
            };
            let before = known.teams.get(team).filter(|_| is_same_process);
            match before {
                _ if copies_levels => bucket.set_level(spending.level),
                Some(before) => {
                    bucket.subtract_peer_spending((spending.spent - before.spent).max(0.0))
                }
                None if is_already_counted => {}
                None => bucket.subtract_peer_spending(spending.spent),
            }
        }
        *known = Peer {
            incarnation: report.incarnation,
            is_reachable: true,
            teams: report.teams,
        };
    }

    /// Returns whether what a peer has spent since its start is accounted for,
    /// though it was not heard before: it was up before this instance, or for so
    /// long that the bucket has been filled since. One that comes back after half a
    /// minute of silence would else cost its team all that it ever spent.
    fn is_already_counted(&self, report: &PeerReport, now_ms: u64) -> bool {
        let started_ms = self.started_ms.unwrap_or(now_ms);
        let up_ms = now_ms.saturating_sub(started_ms);
        let is_older = report.up_ms > up_ms + self.settings.simultaneous_start_ms;
        is_older || report.up_ms > self.settings.recent_start_ms
    }

    /// Notes how many instances there may be, heard or not. A new instance
    /// that hears none yet must not take itself for the only one: after a loss
    /// of power all of them would spend the same tokens at once.
    pub fn set_expected_instances(&mut self, instances: usize) {
        self.expected_instances = instances;
    }

    /// Notes which peers are heard, and forgets those that are gone.
    pub fn update_peers(&mut self, mut is_reachable: impl FnMut(&str) -> Option<bool>) {
        self.peers.retain(|name, peer| match is_reachable(name) {
            Some(is_reachable) => {
                peer.is_reachable = is_reachable;
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
        let share = self.instance_share(&tenant.name, now_ms);
        let is_learning = self.is_learning(now_ms);
        if let Some(bucket) = self.buckets.get_mut(&tenant.name) {
            if is_learning {
                bucket.cap_level(self.settings.initial_burst_fraction * share.reachable_fraction);
            }
            bucket.take(cost, share, now_ms)?;
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
    pub fn refund(&mut self, tenant: &Tenant, cost: u64) {
        if let Some(bucket) = self.buckets.get_mut(&tenant.name) {
            bucket.refund(cost as f64);
        }
    }

    /// Returns whether this instance knows what was spent, for its peers.
    pub fn knows_spending(&self, now_ms: u64) -> bool {
        !self.is_learning(now_ms)
    }

    /// Returns whether little is known yet of what others spend.
    fn is_learning(&self, now_ms: u64) -> bool {
        self.started_within(self.settings.learning_ms, now_ms) && !self.has_learned
    }

    /// Returns the instances that count for rates, and for how long that holds.
    ///
    /// One that starts behind a cut doesn't know of those on the other side; its
    /// peers on this side do, and what they told holds for a window of rates, though
    /// they start anew themselves. Passed on, it holds no longer than that: else two
    /// would remind each other for ever of one that is gone. Whoever has been up for
    /// as long knows best itself, and forgets at once one that says that it stops.
    pub fn instances(&self, now_ms: u64) -> (usize, u64) {
        let own = self.peers.len() + 1;
        let is_new = self.started_within(self.settings.rate_window_ms, now_ms);
        let peer_count = self
            .max_peer_count
            .filter(|count| is_new && now_ms < count.until_ms);
        match peer_count {
            Some(count) if count.instances > own => (count.instances, count.until_ms - now_ms),
            _ => (own, self.settings.rate_window_ms),
        }
    }

    /// Returns the instances that may be serving: those that count, and for a
    /// moment after the start those that are only listed. They may be gone, so
    /// peers aren't told of them.
    fn serving_instances(&self, now_ms: u64) -> usize {
        let counts_expected = self.started_within(self.settings.expected_instances_ms, now_ms);
        let expected = if counts_expected {
            self.expected_instances
        } else {
            0
        };
        self.instances(now_ms).0.max(expected)
    }

    fn record_peer_count(&mut self, instances: usize, until_ms: u64, now_ms: u64) {
        let peer_count = self.max_peer_count.filter(|count| now_ms < count.until_ms);
        let is_more = peer_count
            .is_none_or(|count| (instances, until_ms) > (count.instances, count.until_ms));
        if is_more {
            self.max_peer_count = Some(PeerCount {
                instances,
                until_ms,
            });
        }
    }

    /// Returns whether so little time has passed since the start.
    fn started_within(&self, span_ms: u64, now_ms: u64) -> bool {
        self.started_ms
            .is_none_or(|started_ms| now_ms < started_ms + span_ms)
    }

    /// Returns the part of the instances that is heard.
    ///
    /// One that has just started and hears less than half of those that are listed
    /// may be the last one left, or alone behind a cut while the others serve on.
    /// For a window of rates it takes a third, which suffices for teams that ask for
    /// little and keeps all within what is tolerated; with everything at once, a
    /// restart behind a cut granted a twentieth more than a window may hold.
    fn reachable_fraction(&self, instances: usize, now_ms: u64) -> f64 {
        let reachable = self.peers.values().filter(|peer| peer.is_reachable).count() + 1;
        let fraction = reachable as f64 / instances as f64;
        let is_isolated = !self.has_learned && reachable * 2 < self.expected_instances;
        if is_isolated && self.started_within(self.settings.rate_window_ms, now_ms) {
            return fraction.min(self.settings.isolated_fraction);
        }
        fraction
    }

    fn instance_share(&self, team: &str, now_ms: u64) -> InstanceShare {
        let instances = self.serving_instances(now_ms);
        let reachable_fraction = self.reachable_fraction(instances, now_ms);
        let own = self.own.get(team).map_or(0.0, |own| own.demand.at(now_ms));
        let others: f64 = self
            .peers
            .values()
            .filter_map(|peer| peer.teams.get(team))
            .map(|spending| spending.demand_per_s)
            .sum();
        let equal_share = 1.0 / instances as f64;
        let by_demand = if own + others > 1.0 {
            own / (own + others)
        } else {
            equal_share
        };
        InstanceShare {
            reachable_fraction,
            demand_fraction: self.settings.even_fraction * equal_share
                + (1.0 - self.settings.even_fraction) * by_demand,
            instances_ahead: self.instances_ahead(team, own),
        }
    }

    /// Returns how many instances that a team asks too have their turn before
    /// this one. All instances that have heard of the same spending work out the
    /// same order, and each spending changes it.
    fn instances_ahead(&self, team: &str, own_per_s: f64) -> usize {
        let peers = self.peers.iter();
        let spending = peers.filter_map(|(name, peer)| Some((name, peer.teams.get(team)?)));
        let demands = spending.clone().map(|(_, spending)| spending.demand_per_s);
        let min_active_demand_per_s =
            self.settings.active_demand_fraction * demands.fold(own_per_s, f64::max);
        let own_spent = self.own.get(team).map_or(0.0, |own| own.spent);
        let spent: f64 = spending.clone().map(|(_, spending)| spending.spent).sum();
        let seed = rendezvous((own_spent + spent) as u64, team);
        let own_turn = rendezvous(seed, &self.name);
        spending
            .filter(|(_, spending)| spending.demand_per_s >= min_active_demand_per_s)
            .filter(|(name, _)| rendezvous(seed, name) < own_turn)
            .count()
    }
}
