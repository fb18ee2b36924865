//! Limits that engines name, kept by several instances without a network.

use {
    mangowalk_core::{
        engine_limit::{EngineLimitReport, EngineLimitSettings, EngineLimits, Position},
        pool::{Incarnation, rendezvous},
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
};

const WINDOW_MS: u64 = 4_000;
const STEP_MS: u64 = 10;

/// Time after which messages reach peers.
const MESSAGE_MS: u64 = 50;

fn engine(born_ms: u64) -> Incarnation {
    Incarnation {
        id: "e".to_owned(),
        born_ms,
    }
}

/// A fleet before one engine, to which every instance would send more than it takes.
struct Fleet {
    instances: Vec<EngineLimits>,
    /// Positions in the engine's order.
    ranks: Vec<usize>,
    /// Times from which the instances know the others.
    ready_ms: Vec<u64>,
    /// Reports on their way, by time of arrival and sender.
    messages: Vec<(u64, usize, EngineLimitReport)>,
    arrivals_ms: Vec<u64>,
    settings: EngineLimitSettings,
    rng: SmallRng,
    is_partitioned: bool,
}

impl Fleet {
    fn new(instances: usize) -> Fleet {
        let key = |instance: usize| rendezvous(7, &format!("m{instance}"));
        let rank = |at: usize| {
            let before = (0..instances).filter(|&other| key(other) > key(at));
            before.count()
        };
        Fleet {
            ranks: (0..instances).map(rank).collect(),
            instances: vec![EngineLimits::default(); instances],
            ready_ms: vec![0; instances],
            messages: Vec::new(),
            arrivals_ms: Vec::new(),
            settings: EngineLimitSettings::default(),
            rng: SmallRng::seed_from_u64(instances as u64),
            is_partitioned: false,
        }
    }

    fn restart_all(&mut self, now_ms: u64) {
        let count = self.instances.len();
        self.instances = vec![EngineLimits::default(); count];
        self.ready_ms = vec![now_ms + self.settings.learning_ms; count];
    }

    /// Lets each instance send with a probability, and the engine answer with its limit.
    fn step(&mut self, per_s: Option<f64>, chance: f64, now_ms: u64) {
        let (due, rest) = self
            .messages
            .drain(..)
            .partition(|(at_ms, ..)| *at_ms <= now_ms);
        self.messages = rest;
        let count = self.instances.len();
        let due: Vec<(u64, usize, EngineLimitReport)> = due;
        for (_, from, report) in due {
            for (at, limits) in self.instances.iter_mut().enumerate() {
                let is_cut = self.is_partitioned && (at < count / 2) != (from < count / 2);
                if at != from && !is_cut && self.rng.random_bool(0.98) {
                    limits.apply_report(&report, now_ms);
                }
            }
        }
        for at in 0..count {
            if self.rng.random_bool(chance) {
                self.send(at, per_s, now_ms);
            }
        }
    }

    fn send(&mut self, at: usize, per_s: Option<f64>, now_ms: u64) {
        let engine = engine(0);
        let position = Position {
            rank: self.ranks[at],
            instances: self.instances.len(),
        };
        let locate = || (now_ms >= self.ready_ms[at]).then_some(position);
        let limits = &mut self.instances[at];
        if !limits.admits(&engine, &self.settings, locate, now_ms) {
            return;
        }
        limits.record_sent(&engine);
        self.arrivals_ms.push(now_ms);
        limits.record_answer(&engine, per_s, now_ms.saturating_sub(1), now_ms);
        if let Some(report) = limits.report(&engine, &self.settings, now_ms) {
            self.messages.push((now_ms + MESSAGE_MS, at, report));
        }
    }

    /// Returns the most arrivals in a window that begins within a time.
    fn most(&self, from_ms: u64, to_ms: u64) -> usize {
        let before = |until_ms: u64| self.arrivals_ms.partition_point(|&at_ms| at_ms < until_ms);
        let begins = self.arrivals_ms.iter().copied();
        let windows = begins.filter(|at_ms| (from_ms..=to_ms - WINDOW_MS).contains(at_ms));
        windows
            .map(|at_ms| before(at_ms + WINDOW_MS) - before(at_ms))
            .max()
            .unwrap_or(0)
    }

    fn count(&self, from_ms: u64, to_ms: u64) -> usize {
        let inside = |at_ms: &&u64| (from_ms..to_ms).contains(*at_ms);
        self.arrivals_ms.iter().filter(inside).count()
    }
}

fn allowed(per_s: f64) -> f64 {
    1.5 * per_s * WINDOW_MS as f64 / 1_000.0 + 5.0
}

/// Plays a minute, and returns the share of the limit that was used in the second half and
/// the most arrivals in a window after three seconds, of those allowed.
fn play(instances: usize, per_s: f64, is_partitioned: bool) -> String {
    let mut fleet = Fleet::new(instances);
    fleet.is_partitioned = is_partitioned;
    for now_ms in (0..60_000).step_by(STEP_MS as usize) {
        fleet.step(Some(per_s), 0.05, now_ms);
    }
    let used = fleet.count(30_000, 60_000) as f64 / (30.0 * per_s);
    let most = fleet.most(3_000, 60_000);
    assert!(
        most as f64 <= allowed(per_s),
        "{most} at {per_s} a second, {instances} instances"
    );
    format!(
        "{instances} at {per_s}: used {used:.2}, {most} of {:.0}",
        allowed(per_s)
    )
}

/// Guards against instances that pass an engine's limit together, or leave it unused because
/// the part of each is less than one request.
#[test]
fn a_limit_is_kept_and_used_at_fleets_of_all_sizes() {
    let lines = [6, 100, 300]
        .into_iter()
        .flat_map(|instances| [0.3, 1.1, 1.3, 50.0].map(|per_s| play(instances, per_s, false)));
    insta::assert_snapshot!(lines.collect::<Vec<_>>().join("\n"), @r"
    6 at 0.3: used 0.89, 2 of 7
    6 at 1.1: used 0.91, 6 of 12
    6 at 1.3: used 0.87, 6 of 13
    6 at 50: used 0.52, 136 of 305
    100 at 0.3: used 0.89, 2 of 7
    100 at 1.1: used 0.91, 6 of 12
    100 at 1.3: used 0.92, 6 of 13
    100 at 50: used 0.92, 200 of 305
    300 at 0.3: used 1.00, 2 of 7
    300 at 1.1: used 0.94, 6 of 12
    300 at 1.3: used 0.92, 6 of 13
    300 at 50: used 0.92, 200 of 305
    ");
}

/// Guards against the halves of a partition that both use the whole limit.
#[test]
fn a_limit_is_kept_by_instances_that_are_cut_off_from_each_other() {
    let lines = [6, 100, 300].map(|instances| play(instances, 1.3, true));
    insta::assert_snapshot!(lines.join("\n"), @r"
    6 at 1.3: used 0.90, 6 of 13
    100 at 1.3: used 0.87, 6 of 13
    300 at 1.3: used 0.90, 6 of 13
    ");
}

/// Guards against a limit that falls, and against instances that start together and know
/// neither the limit nor each other.
#[test]
fn a_limit_that_falls_and_a_start_of_all_are_borne() {
    let lines = [6, 100, 300].map(|instances| {
        let mut fleet = Fleet::new(instances);
        for now_ms in (0..40_000).step_by(STEP_MS as usize) {
            if now_ms == 20_000 {
                fleet.restart_all(now_ms);
            }
            let per_s = if now_ms < 10_000 { 50.0 } else { 1.0 };
            fleet.step(Some(per_s), 0.05, now_ms);
        }
        let fallen = fleet.most(13_000, 20_000);
        let restarted = fleet.most(23_000, 40_000);
        let first_second = fleet.count(20_000, 21_000);
        assert!(fallen as f64 <= allowed(1.0) && restarted as f64 <= allowed(1.0));
        format!("{instances}: {fallen} after the fall, {first_second} in the second after the start, then {restarted}")
    });
    insta::assert_snapshot!(lines.join("\n"), @r"
    6: 4 after the fall, 2 in the second after the start, then 4
    100: 4 after the fall, 24 in the second after the start, then 4
    300: 4 after the fall, 74 in the second after the start, then 4
    ");
}

/// Guards against an engine that stays unused after it has withdrawn its limit.
#[test]
fn a_limit_that_is_withdrawn_ends_for_all() {
    let mut fleet = Fleet::new(100);
    for now_ms in (0..30_000).step_by(STEP_MS as usize) {
        let per_s = (now_ms < 10_000).then_some(1.3);
        fleet.step(per_s, 0.01, now_ms);
    }
    let free = fleet.count(20_000, 30_000);
    // A hundred instances that each send once a second.
    assert!(free >= 900, "{free} requests in ten seconds");
}

/// Guards against limits that starve an engine, divide by zero or outlive its process.
#[test]
fn odd_limits_are_borne() {
    let settings = EngineLimitSettings::default();
    let alone = Position {
        rank: 0,
        instances: 1,
    };
    let sent_in_ten_seconds = |per_s: f64, born_ms: u64| {
        let mut limits = EngineLimits::default();
        limits.record_answer(&engine(0), Some(per_s), 0, 0);
        let mut sent = 0;
        for now_ms in 0..10_000 {
            if limits.admits(&engine(born_ms), &settings, || Some(alone), now_ms) {
                limits.record_sent(&engine(born_ms));
                sent += 1;
            }
        }
        sent
    };
    let sent = [0.0, 1e-300, 1.0, 1e9, f64::MAX].map(|per_s| sent_in_ten_seconds(per_s, 0));
    let of_a_new_process = sent_in_ten_seconds(1.0, 1);
    insta::assert_snapshot!(format!("{sent:?} {of_a_new_process}"), @"[1, 1, 9, 9999, 9999] 10000");
}
