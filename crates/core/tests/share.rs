//! Sharing a team's rate between instances that each estimate its bucket.

use {
    mangowalk_core::{
        routing::{Tenant, TokenRate},
        share::{PeerReport, PeerSpending, ShareSettings, ShareTable},
    },
    proptest::prelude::*,
};

fn tenant(per_s: f64, burst: f64) -> Tenant {
    Tenant {
        name: "team".to_owned(),
        keys: Vec::new(),
        priority: None,
        rate: Some(TokenRate { per_s, burst }),
        counts_tokens: true,
        plain_tokens: 200,
        isolated: false,
    }
}

/// Instances that exchange reports of their spending every 200 ms.
struct Fleet {
    tables: Vec<ShareTable>,
    tenant: Tenant,
    incarnations: Vec<u64>,
    started_ms: Vec<u64>,
    /// Whether reports leave out teams whose spending hasn't changed, once all
    /// instances have been up for two seconds.
    is_partial: bool,
    turn: u64,
}

impl Fleet {
    fn new(instances: usize, tenant: Tenant) -> Fleet {
        let mut fleet = Fleet {
            tables: Vec::new(),
            tenant,
            incarnations: vec![1; instances],
            started_ms: vec![0; instances],
            is_partial: false,
            turn: 0,
        };
        for name in 0..instances {
            let settings = ShareSettings::default();
            fleet
                .tables
                .push(ShareTable::new(&name.to_string(), settings));
        }
        for table in &mut fleet.tables {
            table.set_expected_instances(instances);
            table.configure(std::slice::from_ref(&fleet.tenant), 0);
        }
        fleet
    }

    /// Restarts one instance with an empty table.
    fn restart(&mut self, instance: usize, now_ms: u64) {
        let mut table = ShareTable::new(&instance.to_string(), ShareSettings::default());
        table.set_expected_instances(self.tables.len());
        table.configure(std::slice::from_ref(&self.tenant), now_ms);
        self.tables[instance] = table;
        self.incarnations[instance] += 1;
        self.started_ms[instance] = now_ms;
    }

    /// Exchanges heartbeats between all pairs for which `is_connected(from, to)`
    /// holds.
    fn exchange(&mut self, now_ms: u64, is_connected: impl Fn(usize, usize) -> bool) {
        self.turn += 1;
        let turn = self.turn;
        let latest_start_ms = self.started_ms.iter().max().copied().unwrap_or(0);
        let is_partial = self.is_partial && now_ms >= latest_start_ms + 2_000;
        let spending = |table: &ShareTable| match is_partial {
            true => table.changed_spending(turn, now_ms),
            false => table.spending(now_ms),
        };
        let starts = self.incarnations.iter().zip(&self.started_ms);
        let reports: Vec<PeerReport> = self
            .tables
            .iter()
            .zip(starts)
            .map(|(table, (&incarnation, started_ms))| PeerReport {
                incarnation,
                up_ms: now_ms - started_ms,
                instances: table.instances(now_ms).0,
                count_valid_ms: table.instances(now_ms).1,
                knows_spending: table.knows_spending(now_ms),
                is_partial: self.is_partial,
                teams: spending(table).into_iter().collect(),
            })
            .collect();
        for (to, table) in self.tables.iter_mut().enumerate() {
            for (from, report) in reports.iter().enumerate() {
                if from != to && is_connected(from, to) {
                    table.receive_report(&from.to_string(), report.clone(), now_ms);
                }
            }
            table.update_peers(|name| {
                let from: usize = name.parse().expect("names are numbers");
                Some(is_connected(from, to))
            });
        }
    }
}

/// Tokens of a request, prompt and answer together: the largest kind of the
/// deployments.
const REQUEST_TOKENS: u64 = 9_200;

/// Returns the maximum tokens that a window of 8 s may grant: rate and burst
/// plus 10 %, plus the overdraft that the deployments allow.
fn max_allowed(tenant: &Tenant) -> f64 {
    let rate = tenant.rate.expect("the team has one");
    (rate.per_s * 8.0 + rate.burst) * 1.1 + 72_000.0
}

/// Returns the maximum tokens granted in any window of 8 s.
fn max_in_window(spent: &[(u64, f64)]) -> f64 {
    let windows = spent.iter().map(|(begin_ms, _)| {
        let inside = spent
            .iter()
            .filter(|(ms, _)| ms >= begin_ms && ms - begin_ms <= 8_000);
        inside.map(|(_, tokens)| tokens).sum::<f64>()
    });
    windows.fold(0.0, f64::max)
}

/// A team requests several times its rate, mostly at one instance or evenly,
/// while a partition separates some instances for 5.5 s. No window over all
/// instances may grant more than the rate allows.
#[test]
fn no_window_holds_more_than_the_rate_allows() {
    proptest!(ProptestConfig::with_cases(64), |(
        instances in 2_usize..8,
        demand_factor in 1.5_f64..8.0,
        preferred_instance in 0_usize..8,
        partition_at_ms in 0_u64..14_000,
        partition_size in 0_usize..3,
    )| {
        let tenant = tenant(160_000.0, 160_000.0);
        let mut fleet = Fleet::new(instances, tenant.clone());
        let mut spent = Vec::new();
        let per_step = demand_factor * 160_000.0 / 1_000.0 * 20.0 / REQUEST_TOKENS as f64;
        let mut due = 0.0;
        let mut next = 0;
        for now_ms in (0..20_000_u64).step_by(20) {
            if now_ms % 200 == 0 {
                let is_partitioned = (partition_at_ms..partition_at_ms + 5_500).contains(&now_ms);
                let side = |instance: usize| instance < partition_size.min(instances);
                fleet.exchange(now_ms, |a, b| !is_partitioned || side(a) == side(b));
            }
            due += per_step;
            while due >= 1.0 {
                due -= 1.0;
                next += 1;
                let instance = if preferred_instance < instances && next % 3 > 0 { preferred_instance } else { next % instances };
                if fleet.tables[instance].take(&tenant, REQUEST_TOKENS, now_ms).is_ok() {
                    spent.push((now_ms, REQUEST_TOKENS as f64));
                }
            }
        }
        let max_spent = max_in_window(&spent);
        prop_assert!(max_spent <= max_allowed(&tenant), "{max_spent} of {}", max_allowed(&tenant));
    });
}

/// All requests of a team within its rate arrive at one instance. At most 2 %
/// may be refused: all instances share one bucket. If each had a seventh of
/// the burst instead, two prompts would exhaust it.
#[test]
fn a_team_within_its_rate_is_served_by_a_single_instance() {
    let tenant = tenant(160_000.0, 160_000.0);
    for instances in [1, 3, 7] {
        let mut fleet = Fleet::new(instances, tenant.clone());
        let (mut served, mut refused) = (0, 0);
        let mut due = 0.0;
        for now_ms in (0..30_000_u64).step_by(20) {
            if now_ms % 200 == 0 {
                fleet.exchange(now_ms, |_, _| true);
            }
            if now_ms < 10_000 {
                continue;
            }
            due += 0.6 * 160.0 * 20.0 / REQUEST_TOKENS as f64;
            while due >= 1.0 {
                due -= 1.0;
                match fleet.tables[0].take(&tenant, REQUEST_TOKENS, now_ms) {
                    Ok(()) => served += 1,
                    Err(_) => refused += 1,
                }
            }
        }
        assert!(
            refused * 50 <= served,
            "{refused} refused, {served} served of {instances}"
        );
    }
}

/// All instances restart together twice within ten seconds while a team
/// requests as much as it can. The initial levels after a restart must not
/// grant the burst again.
#[test]
fn simultaneous_restarts_do_not_grant_the_burst_again() {
    let tenant = tenant(160_000.0, 160_000.0);
    let mut fleet = Fleet::new(7, tenant.clone());
    let mut spent = Vec::new();
    for now_ms in (0..20_000_u64).step_by(20) {
        if now_ms == 9_000 || now_ms == 12_000 {
            fleet = Fleet::new(7, tenant.clone());
            fleet.started_ms = vec![now_ms; 7];
            for table in &mut fleet.tables {
                *table = ShareTable::default();
                table.set_expected_instances(7);
                table.configure(std::slice::from_ref(&tenant), now_ms);
            }
        }
        if now_ms % 200 == 0 {
            fleet.exchange(now_ms, |_, _| true);
        }
        for instance in 0..7 {
            if fleet.tables[instance]
                .take(&tenant, REQUEST_TOKENS, now_ms)
                .is_ok()
            {
                spent.push((now_ms, REQUEST_TOKENS as f64));
            }
        }
    }
    let max_spent = max_in_window(&spent);
    assert!(
        max_spent <= max_allowed(&tenant),
        "{max_spent} of {}",
        max_allowed(&tenant)
    );
}

/// Instances restart one after the other, as in an upgrade, while a team
/// requests a little more than half of its rate. A new instance doesn't know
/// what was spent, but its peers do, so the team must not be refused. Copying
/// the lowest estimate of all peers fails this: each restart lowers it for all
/// that follow.
#[test]
fn a_rolling_restart_refuses_no_team_within_its_rate() {
    const INSTANCES: usize = 7;
    let tenant = tenant(78_000.0, 78_000.0);
    let mut fleet = Fleet::new(INSTANCES, tenant.clone());
    let (mut due, mut next, mut served, mut refused) = (0.0, 0, 0, 0);
    for now_ms in (0..40_000_u64).step_by(20) {
        let since_ms = now_ms.checked_sub(15_000).filter(|ms| ms % 2_000 == 0);
        if let Some(since_ms) = since_ms {
            fleet.restart((since_ms / 2_000) as usize % INSTANCES, now_ms);
        }
        if now_ms % 200 == 0 {
            fleet.exchange(now_ms, |_, _| true);
        }
        if now_ms < 10_000 {
            continue;
        }
        due += 0.55 * 78.0 * 20.0 / 3_000.0;
        while due >= 1.0 {
            due -= 1.0;
            next += 1;
            match fleet.tables[next % INSTANCES].take(&tenant, 3_000, now_ms) {
                Ok(()) => served += 1,
                Err(_) => refused += 1,
            }
        }
    }
    assert!(refused * 50 <= served, "{refused} refused, {served} served");
}

/// A team requests several times its rate while instances are killed at random,
/// some of them inside a partition. Each restarted instance copies the levels
/// of a peer; no window over all instances may grant more than the rate allows.
#[test]
fn random_restarts_and_partitions_stay_within_the_rate() {
    proptest!(ProptestConfig::default(), |(
        demand_factor in 1.0_f64..8.0,
        restarts in proptest::collection::vec((0_usize..7, 0_u64..1_000), 0..12),
        partition_at_ms in 0_u64..20_000,
        partition_size in 0_usize..4,
    )| {
        let tenant = tenant(160_000.0, 160_000.0);
        let mut fleet = Fleet::new(7, tenant.clone());
        let (mut spent, mut due, mut next) = (Vec::new(), 0.0, 0);
        for now_ms in (0..20_000_u64).step_by(20) {
            for &(instance, step) in &restarts {
                if step * 20 == now_ms {
                    fleet.restart(instance, now_ms);
                }
            }
            if now_ms % 200 == 0 {
                let is_partitioned = (partition_at_ms..partition_at_ms + 5_500).contains(&now_ms);
                fleet.exchange(now_ms, |a, b| !is_partitioned || (a < partition_size) == (b < partition_size));
            }
            due += demand_factor * 160.0 * 20.0 / REQUEST_TOKENS as f64;
            while due >= 1.0 {
                due -= 1.0;
                next += 1;
                if fleet.tables[next % 7].take(&tenant, REQUEST_TOKENS, now_ms).is_ok() {
                    spent.push((now_ms, REQUEST_TOKENS as f64));
                }
            }
        }
        let max_spent = max_in_window(&spent);
        prop_assert!(max_spent <= max_allowed(&tenant), "{max_spent} of {}", max_allowed(&tenant));
    });
}

/// In large fleets reports leave out teams whose spending hasn't changed, and some are
/// lost. A team that requests several times its rate now and then must still get no
/// more than the rate allows, through restarts and partitions.
#[test]
fn partial_reports_stay_within_the_rate() {
    proptest!(ProptestConfig::default(), |(
        demand_factor in 1.0_f64..8.0,
        pause_ms in 500_u64..9_000,
        busy_ms in 500_u64..9_000,
        lost_one_in in 2_usize..40,
        restarts in proptest::collection::vec((0_usize..7, 0_u64..1_000), 0..12),
        partition_at_ms in 0_u64..20_000,
        partition_size in 0_usize..4,
    )| {
        let tenant = tenant(160_000.0, 160_000.0);
        let mut fleet = Fleet::new(7, tenant.clone());
        fleet.is_partial = true;
        let (mut spent, mut due, mut next) = (Vec::new(), 0.0, 0);
        for now_ms in (0..20_000_u64).step_by(20) {
            for &(instance, step) in &restarts {
                if step * 20 == now_ms {
                    fleet.restart(instance, now_ms);
                }
            }
            if now_ms % 200 == 0 {
                let is_partitioned = (partition_at_ms..partition_at_ms + 5_500).contains(&now_ms);
                let beat = (now_ms / 200) as usize;
                fleet.exchange(now_ms, |a, b| {
                    let is_lost = (beat * 31 + a * 7 + b * 13).is_multiple_of(lost_one_in);
                    !is_lost && (!is_partitioned || (a < partition_size) == (b < partition_size))
                });
            }
            if now_ms % (pause_ms + busy_ms) < pause_ms {
                continue;
            }
            due += demand_factor * 160.0 * 20.0 / REQUEST_TOKENS as f64;
            while due >= 1.0 {
                due -= 1.0;
                next += 1;
                if fleet.tables[next % 7].take(&tenant, REQUEST_TOKENS, now_ms).is_ok() {
                    spent.push((now_ms, REQUEST_TOKENS as f64));
                }
            }
        }
        let max_spent = max_in_window(&spent);
        prop_assert!(max_spent <= max_allowed(&tenant), "{max_spent} of {}", max_allowed(&tenant));
    });
}

/// In fleets of hundreds of instances reports arrive twice a second. A team that
/// requests several times its rate at all of them must get no more than the rate
/// allows, and one that stays below its rate is hardly ever refused.
#[test]
fn hundreds_of_instances_share_a_rate_by_reports_twice_a_second() {
    const INSTANCES: usize = 150;
    for (demand_factor, max_refused_share) in [(7.5, 1.0), (0.7, 0.02)] {
        let tenant = tenant(364_000.0, 364_000.0);
        let mut fleet = Fleet::new(INSTANCES, tenant.clone());
        fleet.is_partial = true;
        for table in &mut fleet.tables {
            table.set_report_interval(500);
        }
        let (mut spent, mut refused) = (Vec::new(), 0);
        let (mut due, mut next) = (0.0, 0_usize);
        for now_ms in (0..24_000_u64).step_by(20) {
            if now_ms % 500 == 0 {
                fleet.exchange(now_ms, |_, _| true);
            }
            if now_ms < 8_000 {
                continue;
            }
            due += demand_factor * 364.0 * 20.0 / REQUEST_TOKENS as f64;
            while due >= 1.0 {
                due -= 1.0;
                next += 1;
                let instance = next * 37 % INSTANCES;
                match fleet.tables[instance].take(&tenant, REQUEST_TOKENS, now_ms) {
                    Ok(()) => spent.push((now_ms, REQUEST_TOKENS as f64)),
                    Err(_) => refused += 1,
                }
            }
        }
        let max_spent = max_in_window(&spent);
        assert!(
            max_spent <= max_allowed(&tenant),
            "{max_spent} of {}",
            max_allowed(&tenant)
        );
        let refused_share = refused as f64 / (refused + spent.len()) as f64;
        assert!(refused_share <= max_refused_share, "{refused_share}");
    }
}

/// All of ninety-five instances have lost power and started again. Callers return
/// through all of them at once, with what they couldn't send meanwhile, and retry twice
/// when refused: requests of all sizes by a team at seven tenths of its rate. Shares of
/// the little that has been refilled cover no request, though together they cover them
/// all.
#[test]
fn a_team_within_its_rate_is_served_soon_after_a_common_start() {
    const INSTANCES: usize = 95;
    let tenant = tenant(183_000.0, 183_000.0);
    let mut fleet = Fleet::new(INSTANCES, tenant.clone());
    let (mut spent, mut refused, mut given_up) = (Vec::new(), 0, 0);
    let mut next = 0_usize;
    // Requests still to be sent: when, their cost and the number of tries so far.
    let mut waiting: Vec<(u64, u64, u32)> = Vec::new();
    let mut due = 0.0;
    for now_ms in (0..6_000_u64).step_by(20) {
        if now_ms % 200 == 0 && now_ms > 0 {
            fleet.exchange(now_ms, |_, _| true);
        }
        due += 0.7 * 183.0 * 20.0;
        if now_ms == 1_000 {
            due += 0.7 * 183_000.0;
        }
        while now_ms >= 1_000 && due >= 0.0 {
            let cost = [700, 900, 9_200, 800, 15_000, 1_200][next % 6];
            due -= cost as f64;
            next += 1;
            waiting.push((now_ms, cost, 0));
        }
        let (now, later): (Vec<_>, Vec<_>) = waiting
            .into_iter()
            .partition(|(at_ms, _, _)| *at_ms <= now_ms);
        waiting = later;
        for (n, (_, cost, tries)) in now.into_iter().enumerate() {
            let instance = (now_ms as usize / 20 * 41 + n * 37) % INSTANCES;
            match fleet.tables[instance].take(&tenant, cost, now_ms) {
                Ok(()) => spent.push((now_ms, cost as f64)),
                Err(wait_ms) if tries < 2 => {
                    refused += 1;
                    waiting.push((now_ms + wait_ms, cost, tries + 1));
                }
                Err(_) => given_up += 1,
            }
        }
    }
    let max_spent = max_in_window(&spent);
    assert!(
        max_spent <= max_allowed(&tenant),
        "{max_spent} of {}",
        max_allowed(&tenant)
    );
    assert!(
        given_up * 50 <= spent.len(),
        "{given_up} of {}, {refused} refusals",
        spent.len()
    );
}

/// A team suddenly requests eight times its rate at all of ninety-five instances, whose
/// measure of its demand lags. No window may hold more than the rate allows.
#[test]
fn a_sudden_surge_at_all_instances_stays_within_the_rate() {
    const INSTANCES: usize = 95;
    for rate in [10_000.0, 183_000.0, 364_000.0] {
        let tenant = tenant(rate, rate);
        let mut fleet = Fleet::new(INSTANCES, tenant.clone());
        let mut spent = Vec::new();
        let (mut due, mut next) = (0.0, 0_usize);
        for now_ms in (0..20_000_u64).step_by(20) {
            if now_ms % 200 == 0 {
                fleet.exchange(now_ms, |_, _| true);
            }
            let factor = if (5_000..9_000).contains(&now_ms) {
                8.0
            } else {
                0.5
            };
            due += factor * rate / 1_000.0 * 20.0;
            while due >= 0.0 {
                let cost = [700, 900, 9_200, 800, 15_000, 1_200][next % 6];
                due -= cost as f64;
                let instance = next * 37 % INSTANCES;
                next += 1;
                if fleet.tables[instance].take(&tenant, cost, now_ms).is_ok() {
                    spent.push((now_ms, cost as f64));
                }
            }
        }
        let max_spent = max_in_window(&spent);
        assert!(
            max_spent <= max_allowed(&tenant),
            "{max_spent} of {}",
            max_allowed(&tenant)
        );
    }
}

/// Most of hundreds of teams have had no requests at one instance for a while. They must
/// not be in each of its reports, but each of them in some, as reports may be lost.
#[test]
fn teams_without_requests_are_reported_in_turn() {
    let teams: Vec<Tenant> = (0..230)
        .map(|n| Tenant {
            name: format!("team{n}"),
            ..tenant(1_000.0, 1_000.0)
        })
        .collect();
    let mut table = ShareTable::new("a", ShareSettings::default());
    table.configure(&teams, 0);
    for team in &teams {
        let _ = table.take(team, 10, 0);
    }
    let _ = table.take(&teams[7], 10, 10_000);
    let mut reported = std::collections::HashSet::new();
    for turn in 0..10 {
        let report = table.changed_spending(turn, 10_200);
        assert!(report.len() <= 24, "{}", report.len());
        assert!(report.iter().any(|(team, _)| team == "team7"));
        reported.extend(report.into_iter().map(|(team, _)| team));
    }
    assert_eq!(reported.len(), teams.len());
}

/// In a large fleet most reports hold only the teams that the peer has to tell of. Such
/// a report came first at an instance that had just started, which took its few levels
/// for all: the buckets of the other teams stayed empty, and they were refused.
#[test]
fn a_report_without_some_teams_does_not_end_the_learning() {
    let teams = ["busy", "quiet"].map(|name| Tenant {
        name: name.to_owned(),
        ..tenant(1_000.0, 10_000.0)
    });
    let mut table = ShareTable::new("new", ShareSettings::default());
    table.configure(&teams, 0);
    let spending = PeerSpending {
        spent: 5_000.0,
        level: 8_000.0,
        demand_per_s: 0.0,
    };
    let report = |names: &[&str]| PeerReport {
        incarnation: 1,
        up_ms: 60_000,
        instances: 2,
        count_valid_ms: 8_000,
        knows_spending: true,
        is_partial: true,
        teams: names
            .iter()
            .map(|name| (name.to_string(), spending.clone()))
            .collect(),
    };
    table.receive_report("far", report(&["busy"]), 100);
    assert!(!table.knows_spending(100));
    table.receive_report("near", report(&["busy", "quiet"]), 200);
    assert!(table.knows_spending(200));
    assert_eq!(table.level("quiet"), Some(8_000.0));
}

/// Teams that never sent a request to an instance are none of its news.
#[test]
fn teams_that_never_asked_are_not_reported() {
    let teams = ["asked", "never"].map(|name| Tenant {
        name: name.to_owned(),
        ..tenant(1_000.0, 10_000.0)
    });
    let mut table = ShareTable::new("one", ShareSettings::default());
    table.configure(&teams, 0);
    let _ = table.take(&teams[0], 100, 5_000);
    for turn in 0..20 {
        let reported = table.changed_spending(turn, 5_100);
        let names: Vec<&str> = reported.iter().map(|(name, _)| name.as_str()).collect();
        assert_eq!(names, ["asked"]);
    }
}

/// A new instance receives a peer's report before it has its configuration. It
/// must still copy the peer's levels from the next report; otherwise it refuses
/// teams within their rate until its own buckets have filled.
#[test]
fn levels_are_copied_from_a_peer_once_configured() {
    let tenant = tenant(10_000.0, 10_000.0);
    let mut table = ShareTable::default();
    let report = PeerReport {
        incarnation: 1,
        up_ms: 60_000,
        instances: 2,
        count_valid_ms: 8_000,
        knows_spending: true,
        is_partial: false,
        teams: [(
            "team".to_owned(),
            PeerSpending {
                spent: 500.0,
                level: 9_000.0,
                demand_per_s: 0.0,
            },
        )]
        .into(),
    };
    table.receive_report("peer", report.clone(), 10);
    table.configure(std::slice::from_ref(&tenant), 20);
    table.receive_report("peer", report, 210);
    assert!(table.take(&tenant, 3_000, 220).is_ok());
}

/// Two instances counted a third one that has left. Neither may keep counting it
/// because of the other's reports; otherwise its part of the rates would stay
/// reserved forever.
#[test]
fn a_departed_peer_is_not_counted_from_peer_reports() {
    let tenant = tenant(10_000.0, 10_000.0);
    let mut fleet = Fleet::new(3, tenant);
    fleet.exchange(5_000, |_, _| true);
    for now_ms in (5_200..20_000).step_by(200) {
        for table in &mut fleet.tables {
            table.update_peers(|name| (name != "2").then_some(true));
        }
        let (first, second) = (0, 1);
        for (from, to) in [(first, second), (second, first)] {
            let (instances, count_valid_ms) = fleet.tables[from].instances(now_ms);
            let report = PeerReport {
                instances,
                count_valid_ms,
                ..PeerReport::default()
            };
            fleet.tables[to].receive_report(&from.to_string(), report, now_ms);
        }
    }
    assert_eq!(fleet.tables[1].instances(20_000).0, 2);
}

/// The reports of a peer that was removed after half a minute of silence resume.
/// Its spending since its start must not be subtracted a second time; otherwise
/// its team would be refused until the bucket has refilled.
#[test]
fn earlier_spending_of_a_returning_peer_is_not_subtracted_again() {
    let tenant = tenant(10_000.0, 10_000.0);
    let mut table = ShareTable::default();
    table.configure(std::slice::from_ref(&tenant), 0);
    let report = |up_ms| PeerReport {
        incarnation: 7,
        up_ms,
        instances: 2,
        count_valid_ms: 8_000,
        knows_spending: true,
        is_partial: false,
        teams: [(
            "team".to_owned(),
            PeerSpending {
                spent: 900_000.0,
                level: 10_000.0,
                demand_per_s: 0.0,
            },
        )]
        .into(),
    };
    table.receive_report("peer", report(20_000), 20_000);
    table.update_peers(|_| None);
    table.receive_report("peer", report(60_000), 60_000);
    assert!(table.take(&tenant, 1_000, 60_100).is_ok());
}

/// A refused request returns the wait until its tokens are available. A retry
/// after that wait must be granted.
#[test]
fn a_retry_after_the_returned_wait_is_granted() {
    let tenant = tenant(1_000.0, 4_000.0);
    let mut table = ShareTable::default();
    table.configure(std::slice::from_ref(&tenant), 0);
    let mut now_ms = 0;
    let wait_ms = loop {
        if let Err(wait_ms) = table.take(&tenant, 400, now_ms) {
            break wait_ms;
        }
        now_ms += 1;
    };
    assert!((1..5_000).contains(&wait_ms), "{wait_ms}");
    assert!(table.take(&tenant, 400, now_ms + wait_ms + 1).is_ok());
}

/// A request larger than the burst is granted once the bucket is full, and its
/// excess is subtracted from later requests.
#[test]
fn a_request_larger_than_the_burst_is_granted_from_a_full_bucket() {
    let tenant = tenant(1_000.0, 4_000.0);
    let mut table = ShareTable::default();
    table.configure(std::slice::from_ref(&tenant), 0);
    assert!(table.take(&tenant, 9_000, 10).is_err());
    assert!(table.take(&tenant, 9_000, 10_000).is_ok());
    assert!(table.take(&tenant, 100, 12_000).is_err());
}

/// The last instance of seven restarts. From one second after its start it must
/// serve a team within its rate, although six others are still listed.
#[test]
fn the_last_instance_serves_within_a_second_of_its_start() {
    let tenant = tenant(160_000.0, 160_000.0);
    let mut table = ShareTable::default();
    table.set_expected_instances(7);
    table.configure(std::slice::from_ref(&tenant), 0);
    let (mut served, mut refused) = (0, 0);
    for now_ms in (1_000..5_000_u64).step_by(100) {
        match table.take(&tenant, 1_500, now_ms) {
            Ok(()) => served += 1,
            Err(_) => refused += 1,
        }
    }
    assert!(refused * 10 <= served, "{refused} refused, {served} served");
}

/// A team with a burst of four requests repeatedly sends one request to each of
/// 20 instances at the same time. All see the same full bucket; if each granted
/// its request, 20 would run at once and the team would be refused for 20 s
/// afterwards. The team must receive its rate steadily.
#[test]
fn simultaneous_requests_at_all_instances_are_granted_in_turns() {
    let mut fleet = Fleet::new(20, tenant(1_000.0, 4_000.0));
    let cost = 1_050;
    let (mut granted, mut max_at_once) = (0, 0);
    for tick in 1..=150_u64 {
        let now_ms = tick * 200;
        fleet.exchange(now_ms, |_, _| true);
        let tenant = fleet.tenant.clone();
        let takes = fleet.tables.iter_mut();
        let at_once = takes.filter(|_| tick % 4 == 0).filter_map(|table| {
            let taken = table.take(&tenant, cost, now_ms + 10);
            taken.ok()
        });
        let at_once = at_once.count();
        granted += at_once;
        max_at_once = max_at_once.max(at_once);
    }
    // The rate over 30 s plus the burst is enough for 32 such requests.
    assert!(max_at_once <= 3, "{max_at_once} at once");
    assert!((20..=32).contains(&granted), "{granted} granted");
}
