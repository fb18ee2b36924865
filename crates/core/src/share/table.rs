use {
    super::{FleetBucket, InstanceShare},
    crate::{demand::Demand, pool::rendezvous, routing::Tenant},
    std::collections::HashMap,
};

/// Time after its last request for which a team is in each report to peers. Measured
/// demand falls to a fifth in it.
const ACTIVE_TEAM_MS: u64 = 3_500;

/// Number of reports in which each team without requests is included once.
const IDLE_TEAM_TURNS: u64 = 10;

/// Settings for sharing rates between instances, chiefly for the time after a
/// start and for partitions.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareSettings {
    /// Maximum level of a bucket, as a fraction of the burst, while the instance
    /// is learning. Buckets start empty: the instance can't know what was spent
    /// before, and any initial level would be granted again at each restart.
    pub initial_burst_fraction: f64,
    /// Time after the start, in milliseconds, during which listed instances
    /// count although no heartbeat from them has been received. Live instances
    /// are discovered within two heartbeat periods; with a longer time, the last
    /// remaining instance would keep refusing callers on behalf of instances
    /// that have left.
    pub expected_instances_ms: u64,
    /// Time after the start, in milliseconds, during which the spending of other
    /// instances is unknown unless a peer that knows it has reported.
    pub learning_ms: u64,
    /// Maximum difference between two instances' uptimes, in milliseconds, for
    /// them to count as started together. Machines that restart at once differ
    /// by some hundred milliseconds.
    pub simultaneous_start_ms: u64,
    /// Maximum uptime of a newly discovered peer, in milliseconds, for which all
    /// of its spending counts as recent. Longer than heartbeats take to discover
    /// a new peer, shorter than a bucket takes to fill.
    pub recent_start_ms: u64,
    /// Maximum fraction of the rates that an instance uses after its start while
    /// less than half of the expected instances are reachable.
    pub isolated_fraction: f64,
    /// Rate window in milliseconds: the time after the start for which
    /// `isolated_fraction` applies, and for which a reported instance count is
    /// valid.
    pub rate_window_ms: u64,
    /// Fraction of a team's bucket that is divided evenly between all instances,
    /// so that an instance has tokens for the first request it receives. The
    /// rest is divided by demand.
    pub even_fraction: f64,
    /// Tokens by which all instances together may briefly overdraw a team's
    /// bucket. A larger value lets more instances grant requests at once.
    pub slack_tokens: f64,
    /// Minimum demand for an instance to take part in a team's order of turns,
    /// as a fraction of the largest demand at any instance. Measured demand
    /// halves in about 1.5 s, so an instance without requests drops out of the
    /// order within 5 s.
    pub active_demand_fraction: f64,
    /// Maximum interval between reports of a peer, in milliseconds, for which the
    /// whole level may be used if it covers the demand of that time. Measured demand
    /// lags: a team that suddenly requests eight times its rate overdraws the bucket
    /// by what it requests in one interval, which must stay within the tolerance of
    /// a rate window.
    pub max_report_interval_ms: u64,
}

/// Interval of reports until another one is set.
const DEFAULT_REPORT_INTERVAL_MS: u64 = 200;

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
            max_report_interval_ms: 250,
        }
    }
}

/// One team's spending at a peer, as the peer reports it.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerSpending {
    /// Tokens spent since the peer's start.
    pub spent: f64,
    /// Level of the bucket in tokens, as the peer estimates it.
    pub level: f64,
    /// Tokens per second requested at the peer, granted or not.
    pub demand_per_s: f64,
}

impl PeerSpending {
    /// Returns whether the team has neither spent nor requested anything lately.
    fn is_nothing(&self) -> bool {
        self.spent == 0.0 && self.demand_per_s == 0.0
    }
}

/// Spending of all teams at a peer, as its heartbeat reports it.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct PeerReport {
    /// Identifies the peer's process; a restart changes it.
    pub incarnation: u64,
    /// Milliseconds since the peer's start.
    pub up_ms: u64,
    /// Instances that the peer counts, reachable or not, itself included.
    pub instances: usize,
    /// Milliseconds for which `instances` remains valid.
    pub count_valid_ms: u64,
    /// Whether the peer knows what was spent: it is past its learning time or
    /// has copied the levels of another instance.
    pub knows_spending: bool,
    /// Whether `teams` leaves out teams whose spending hasn't changed.
    pub is_partial: bool,
    /// Spending by team name.
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
    requested_ms: Option<u64>,
}

/// This instance's estimate of every team's bucket.
#[derive(Debug, Default)]
pub struct ShareTable {
    name: String,
    settings: ShareSettings,
    buckets: HashMap<String, FleetBucket>,
    own: HashMap<String, OwnSpending>,
    peers: HashMap<String, Peer>,
    started_ms: Option<u64>,
    /// Whether levels were copied from a peer that knows what was spent before
    /// this instance started.
    has_learned: bool,
    expected_instances: usize,
    report_interval_ms: u64,
    /// Largest instance count that a peer reported, until it expires.
    max_peer_count: Option<PeerCount>,
}

#[derive(Debug, Clone, Copy)]
struct PeerCount {
    instances: usize,
    until_ms: u64,
}

impl ShareTable {
    /// Returns an empty table for the instance `name`. It has no buckets until
    /// [`ShareTable::configure`] is called.
    pub fn new(name: &str, settings: ShareSettings) -> ShareTable {
        ShareTable {
            name: name.to_owned(),
            settings,
            report_interval_ms: DEFAULT_REPORT_INTERVAL_MS,
            ..ShareTable::default()
        }
    }

    /// Returns this instance's spending by team, sorted by name, for the
    /// heartbeats to its peers.
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

    /// Returns what [`ShareTable::spending`] does, but leaves out most teams without
    /// requests in the last `ACTIVE_TEAM_MS`: with hundreds of teams on hundreds of
    /// instances they would be most of what instances send each other. Each of them
    /// is included once in `IDLE_TEAM_TURNS` turns, so that a lost report is made up
    /// for and falling demand is heard of. Teams that never sent a request to this
    /// instance are left out altogether: peers have nothing of them to count.
    pub fn changed_spending(&self, turn: u64, now_ms: u64) -> Vec<(String, PeerSpending)> {
        let mut spending = self.spending(now_ms);
        let mut index = 0;
        spending.retain(|(_, spending)| !spending.is_nothing());
        spending.retain(|(team, _)| {
            index += 1;
            let requested_ms = self.own.get(team).and_then(|own| own.requested_ms);
            let is_active = requested_ms.is_some_and(|at_ms| now_ms < at_ms + ACTIVE_TEAM_MS);
            is_active || (index + turn).is_multiple_of(IDLE_TEAM_TURNS)
        });
        spending
    }

    /// Applies the teams and rates of a configuration. The first call marks the
    /// start of this instance. Teams without a rate lose their bucket, and teams
    /// that are no longer listed are removed.
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

    /// Applies a peer's report: subtracts what the peer has spent since its last
    /// report.
    ///
    /// A new instance instead copies the levels of the first peer that knows
    /// them: both estimate the same buckets, and that peer keeps spending by its
    /// own estimate. Taking the lowest of all levels would lower them with every
    /// instance of a rolling restart and refuse teams that are within their
    /// rate.
    pub fn receive_report(&mut self, peer: &str, report: PeerReport, now_ms: u64) {
        // Before the first configuration there are no buckets to copy levels
        // into; the next heartbeat brings the levels again. A report that leaves out
        // teams would end the learning with the levels of a few.
        let is_configured = self.started_ms.is_some();
        let is_taught = is_configured && report.knows_spending && self.is_learning(now_ms);
        let copies_levels = is_taught && self.is_complete(&report);
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
        known.incarnation = report.incarnation;
        known.is_reachable = true;
        if !(report.is_partial && is_same_process) {
            known.teams.clear();
        }
        known.teams.extend(report.teams);
    }

    /// Returns whether a report holds the level of each bucket.
    fn is_complete(&self, report: &PeerReport) -> bool {
        let mut teams = self.buckets.keys();
        teams.all(|team| report.teams.contains_key(team))
    }

    /// Returns whether the spending of a newly discovered peer is already
    /// reflected in the levels: the peer started before this instance, or so long
    /// ago that the bucket has filled since. Otherwise, if the heartbeats of a
    /// peer resumed after half a minute, everything that it ever spent would be
    /// subtracted from its teams' buckets.
    fn is_already_counted(&self, report: &PeerReport, now_ms: u64) -> bool {
        let started_ms = self.started_ms.unwrap_or(now_ms);
        let up_ms = now_ms.saturating_sub(started_ms);
        let is_older = report.up_ms > up_ms + self.settings.simultaneous_start_ms;
        is_older || report.up_ms > self.settings.recent_start_ms
    }

    /// Sets the interval at which reports of all peers arrive.
    pub fn set_report_interval(&mut self, interval_ms: u64) {
        self.report_interval_ms = interval_ms;
    }

    /// Sets how many instances are listed, reachable or not. A new instance
    /// without heartbeats must not assume that it is the only one: after a power
    /// loss all instances would spend the same tokens at once.
    pub fn set_expected_instances(&mut self, instances: usize) {
        self.expected_instances = instances;
    }

    /// Updates which peers are reachable, by name, and removes those for which
    /// `is_reachable` returns `None`.
    pub fn update_peers(&mut self, mut is_reachable: impl FnMut(&str) -> Option<bool>) {
        self.peers.retain(|name, peer| match is_reachable(name) {
            Some(is_reachable) => {
                peer.is_reachable = is_reachable;
                true
            }
            None => false,
        });
    }

    /// Takes a request's cost in tokens from its team's bucket, and counts it as
    /// demand. Teams without a rate are always granted.
    ///
    /// # Errors
    ///
    /// Returns the estimated wait in milliseconds if the tokens are not
    /// available.
    pub fn take(&mut self, tenant: &Tenant, cost: u64, now_ms: u64) -> Result<(), u64> {
        let cost = cost as f64;
        let own = self.own.entry(tenant.name.clone()).or_default();
        own.demand.add(cost, now_ms);
        own.requested_ms = Some(now_ms);
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

    /// Returns the estimated tokens in a team's bucket, or `None` for a team
    /// without a rate.
    pub fn level(&self, team: &str) -> Option<f64> {
        self.buckets.get(team).map(FleetBucket::level)
    }

    /// Refunds the cost of a request that did not run.
    ///
    /// The refund is not reported to peers, whose buckets refill with time; a
    /// decreasing spending counter would look like a restart.
    pub fn refund(&mut self, tenant: &Tenant, cost: u64) {
        if let Some(bucket) = self.buckets.get_mut(&tenant.name) {
            bucket.refund(cost as f64);
        }
    }

    /// Returns whether this instance knows what was spent before its start, for
    /// the reports to its peers.
    pub fn knows_spending(&self, now_ms: u64) -> bool {
        !self.is_learning(now_ms)
    }

    /// Returns whether the spending of other instances is still unknown.
    fn is_learning(&self, now_ms: u64) -> bool {
        self.started_within(self.settings.learning_ms, now_ms) && !self.has_learned
    }

    /// Returns the number of instances that share the rates, this one included,
    /// and for how many milliseconds that number is valid.
    ///
    /// An instance that starts inside a partition doesn't know the instances on
    /// the other side, but its peers do. A count that they report is valid for
    /// one rate window, even if they restart themselves. Relaying a count does
    /// not extend its validity; otherwise two instances could keep a departed
    /// one counted forever. After one rate window an instance relies on its own
    /// list of peers, and drops a peer as soon as that peer announces that it
    /// stops.
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

    /// Returns the number of instances that may be serving: those that share the
    /// rates and, for `expected_instances_ms` after the start, those that are
    /// only listed. Listed instances may be gone, so they are not reported to
    /// peers.
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

    /// Returns whether this instance started less than `span_ms` ago or has no
    /// configuration yet.
    fn started_within(&self, span_ms: u64, now_ms: u64) -> bool {
        self.started_ms
            .is_none_or(|started_ms| now_ms < started_ms + span_ms)
    }

    /// Returns the fraction of the instances whose heartbeats are received.
    ///
    /// If a newly started instance reaches less than half of the listed
    /// instances, it may be the last one left, or isolated by a partition while
    /// the others keep serving. For one rate window it uses at most a third of
    /// the rates, which is enough for teams with little demand and keeps the
    /// total within the tolerance. With the full rates, a restart inside a
    /// partition granted 5 % more than a rate window may hold.
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
            own_fraction: self.settings.even_fraction * equal_share
                + (1.0 - self.settings.even_fraction) * by_demand,
            instances_ahead: self.instances_ahead(team, own),
            unreported_tokens: self.unreported_tokens(own + others),
        }
    }

    /// Returns the tokens that a team with this demand at all instances requests until
    /// they hear of each other's spending.
    fn unreported_tokens(&self, demand_per_s: f64) -> f64 {
        let interval_ms = self.report_interval_ms;
        if interval_ms > self.settings.max_report_interval_ms {
            return f64::INFINITY;
        }
        demand_per_s * interval_ms as f64 / 1_000.0
    }

    /// Returns how many instances with demand from a team have their turn before
    /// this one. Instances that know the same spending compute the same order,
    /// and any spending changes it.
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
