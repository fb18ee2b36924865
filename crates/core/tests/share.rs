//! A team's rate over all instances, as each estimates it.

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

/// Instances that exchange what they spent every 200 ms.
struct Fleet {
    tables: Vec<ShareTable>,
    tenant: Tenant,
    incarnations: Vec<u64>,
    started_ms: Vec<u64>,
}

impl Fleet {
    fn new(instances: usize, tenant: Tenant) -> Fleet {
        let mut fleet = Fleet {
            tables: Vec::new(),
            tenant,
            incarnations: vec![1; instances],
            started_ms: vec![0; instances],
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

    /// Starts one instance anew, which knows nothing then.
    fn restart(&mut self, instance: usize, now_ms: u64) {
        let mut table = ShareTable::new(&instance.to_string(), ShareSettings::default());
        table.set_expected_instances(self.tables.len());
        table.configure(std::slice::from_ref(&self.tenant), now_ms);
        self.tables[instance] = table;
        self.incarnations[instance] += 1;
        self.started_ms[instance] = now_ms;
    }

    /// Exchanges heartbeats; `is_connected` says who hears whom.
    fn exchange(&mut self, now_ms: u64, is_connected: impl Fn(usize, usize) -> bool) {
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
                teams: table.spending(now_ms).into_iter().collect(),
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

/// A prompt with its answer, in tokens; the deployments' largest kind.
const REQUEST_TOKENS: u64 = 9_200;

/// Most that a window of eight seconds may hold: the rate and burst with a
/// tenth over, and what the deployments allow beyond.
fn max_allowed(tenant: &Tenant) -> f64 {
    let rate = tenant.rate.expect("the team has one");
    (rate.per_s * 8.0 + rate.burst) * 1.1 + 72_000.0
}

fn max_in_window(spent: &[(u64, f64)]) -> f64 {
    let windows = spent.iter().map(|(begin_ms, _)| {
        let inside = spent
            .iter()
            .filter(|(ms, _)| ms >= begin_ms && ms - begin_ms <= 8_000);
        inside.map(|(_, tokens)| tokens).sum::<f64>()
    });
    windows.fold(0.0, f64::max)
}

/// A team asks for several times its rate at instances that change, some of
/// which are cut off from the others for seconds. Over all of them no window
/// holds more than the rate allows.
#[test]
fn no_window_holds_more_than_the_rate_allows() {
    proptest!(ProptestConfig::with_cases(64), |(
        instances in 2_usize..8,
        demand_factor in 1.5_f64..8.0,
        skew in 0_usize..8,
        cut_at_ms in 0_u64..14_000,
        cut_size in 0_usize..3,
    )| {
        let tenant = tenant(160_000.0, 160_000.0);
        let mut fleet = Fleet::new(instances, tenant.clone());
        let mut spent = Vec::new();
        let per_step = demand_factor * 160_000.0 / 1_000.0 * 20.0 / REQUEST_TOKENS as f64;
        let mut due = 0.0;
        let mut next = 0;
        for now_ms in (0..20_000_u64).step_by(20) {
            if now_ms % 200 == 0 {
                let is_cut = (cut_at_ms..cut_at_ms + 5_500).contains(&now_ms);
                let side = |instance: usize| instance < cut_size.min(instances);
                fleet.exchange(now_ms, |a, b| !is_cut || side(a) == side(b));
            }
            due += per_step;
            while due >= 1.0 {
                due -= 1.0;
                next += 1;
                let instance = if skew < instances && next % 3 > 0 { skew } else { next % instances };
                if fleet.tables[instance].take(&tenant, REQUEST_TOKENS, now_ms).is_ok() {
                    spent.push((now_ms, REQUEST_TOKENS as f64));
                }
            }
        }
        let max_spent = max_in_window(&spent);
        prop_assert!(max_spent <= max_allowed(&tenant), "{max_spent} of {}", max_allowed(&tenant));
    });
}

/// A team stays within its rate, and all its callers come to one instance.
/// It is hardly ever refused: the rate is one bucket, not a part for each
/// instance. With a seventh of the burst for each, two prompts would fill it.
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

/// All instances lose power and come back, twice in ten seconds, while a team
/// asks for all it can get. What each believes to be left at its start must
/// not hand the burst out again each time.
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

/// Instances are restarted one after the other, as for an upgrade, while a team
/// asks for a little more than half of its rate. One that starts doesn't know what
/// was spent, but its peers do: the team must not be refused. Before, the lowest
/// estimate was taken over, and each restart lowered it for all that followed.
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

/// A team asks for several times its rate while instances are killed at random,
/// some behind a cut. Each that starts takes over what a peer knows; over all of
/// them no window holds more than the rate allows.
#[test]
fn random_restarts_and_partitions_stay_within_the_rate() {
    proptest!(ProptestConfig::default(), |(
        demand_factor in 1.0_f64..8.0,
        restarts in proptest::collection::vec((0_usize..7, 0_u64..1_000), 0..12),
        cut_at_ms in 0_u64..20_000,
        cut_size in 0_usize..4,
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
                let is_cut = (cut_at_ms..cut_at_ms + 5_500).contains(&now_ms);
                fleet.exchange(now_ms, |a, b| !is_cut || (a < cut_size) == (b < cut_size));
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

/// An instance that starts hears a peer before it has read its configuration. It
/// must still take over that peer's levels with the next heartbeat, else it refuses
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

/// Two of three instances have counted a third that is gone. Neither keeps
/// counting it because the other says so, else they would set its part of the
/// rates aside for ever.
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

/// A peer was silent for half a minute and forgotten, and is heard again. What it
/// spent in its whole life must not be taken from the bucket once more: its team
/// would be refused for as long.
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

/// A prompt is larger than the whole burst. It goes when the bucket is full,
/// and what it took beyond is missing afterwards.
#[test]
fn a_request_larger_than_the_burst_is_granted_from_a_full_bucket() {
    let tenant = tenant(1_000.0, 4_000.0);
    let mut table = ShareTable::default();
    table.configure(std::slice::from_ref(&tenant), 0);
    assert!(table.take(&tenant, 9_000, 10).is_err());
    assert!(table.take(&tenant, 9_000, 10_000).is_ok());
    assert!(table.take(&tenant, 100, 12_000).is_err());
}

/// One instance is left of seven, and starts again. A second later it must
/// serve a team within its rate, though six others are still listed.
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

/// A team with a burst of four requests is asked for at all of twenty instances
/// at the same moment, again and again. Each sees the same full bucket; if each
/// took from it, twenty would run at once and the team would be refused for as
/// many seconds to make up for it. It must get its rate, steadily.
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
    // 30 seconds' rate and the burst hold 32 such requests.
    assert!(max_at_once <= 3, "{max_at_once} at once");
    assert!((20..=32).contains(&granted), "{granted} granted");
}
