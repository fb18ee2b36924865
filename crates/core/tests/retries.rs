//! Retry budgets of several instances, without a network.

use {
    mangowalk_core::retries::{
        BudgetShare, FleetRetryBudget, LoanGrant, LoanMessage, LoanRequest, RetrySettings,
        SlackSharers,
    },
    proptest::prelude::*,
    rand::{Rng, SeedableRng, rngs::SmallRng},
};

/// An instance and when its process started; `None` for the first start of the fleet.
#[derive(Default)]
struct Instance {
    budget: FleetRetryBudget,
    started_ms: Option<u64>,
}

impl Instance {
    fn share(&self, instances: usize, now_ms: u64) -> BudgetShare {
        BudgetShare {
            slack_fraction: 1.0 / instances as f64,
            up_ms: self.started_ms.map(|started_ms| now_ms - started_ms),
        }
    }

    fn restart(&mut self, now_ms: u64) {
        *self = Instance {
            started_ms: Some(now_ms),
            ..Instance::default()
        };
    }
}

/// Returns the most retries in any window, as a share of what its requests allow: those of
/// the window, of the one before it or of the one half a window before it. Times are in
/// order.
fn used_share(requests_ms: &[u64], retries_ms: &[u64], settings: &RetrySettings) -> f64 {
    let window_ms = settings.window_ms;
    let count = |times_ms: &[u64], from_ms: u64| {
        let before = |until_ms: u64| times_ms.partition_point(|&at_ms| at_ms < until_ms);
        (before(from_ms + window_ms) - before(from_ms)) as f64
    };
    let shares = retries_ms.iter().map(|&from_ms| {
        let earlier_ms = [0, window_ms / 2, window_ms].map(|ms| from_ms.saturating_sub(ms));
        let requests = earlier_ms.map(|from_ms| count(requests_ms, from_ms));
        let most = requests.into_iter().fold(0.0, f64::max);
        count(retries_ms, from_ms) / (settings.ratio * most + settings.slack)
    });
    shares.fold(0.0, f64::max)
}

/// Sends a retry with what peers lend if need be, and returns whether it was granted.
/// Messages are lost at times, and nothing is sent between the halves of a partition.
fn retry(
    fleet: &mut [Instance],
    at: usize,
    is_partitioned: bool,
    settings: &RetrySettings,
    rng: &mut SmallRng,
    now_ms: u64,
) -> bool {
    let count = fleet.len();
    let share = fleet[at].share(count, now_ms);
    if fleet[at].budget.try_retry(settings, share, now_ms) {
        return true;
    }
    let lenders = match settings.lenders {
        0 => return false,
        _ => share.lenders(settings).min(count - 1),
    };
    if !fleet[at].budget.record_refused(settings, now_ms) {
        return false;
    }
    let wanted = fleet[at].budget.ask_for_loan(lenders, now_ms);
    for _ in 0..lenders {
        let peer = (at + rng.random_range(1..count)) % count;
        if is_partitioned && (peer < count / 2) != (at < count / 2) || rng.random_bool(0.02) {
            continue;
        }
        let share = fleet[peer].share(count, now_ms);
        let lent = fleet[peer].budget.lend(wanted, settings, share, now_ms);
        if rng.random_bool(0.98) {
            fleet[at].budget.receive_loan(lent, settings, now_ms);
        }
    }
    let share = fleet[at].share(count, now_ms);
    fleet[at].budget.try_retry(settings, share, now_ms)
}

/// A minute in which all engines reject what arrives for most of the time.
struct Trouble {
    instances: usize,
    /// Requests a second at all instances.
    requests_per_s: f64,
    /// Share of the instances that get half of the requests.
    busy_share: f64,
    /// Share of the instances, the busiest, whose requests are rejected.
    hit_share: f64,
    /// Times at which half of the instances start again.
    half_restarts_ms: &'static [u64],
    /// Times at which all instances start again.
    all_restart_ms: &'static [u64],
    is_partitioned: bool,
    lends: bool,
}

impl Default for Trouble {
    fn default() -> Trouble {
        Trouble {
            instances: 7,
            requests_per_s: 0.0,
            busy_share: 1.0,
            hit_share: 1.0,
            half_restarts_ms: &[],
            all_restart_ms: &[],
            is_partitioned: false,
            lends: true,
        }
    }
}

impl Trouble {
    /// Returns the highest used share of the bound, and the share of the retries wanted
    /// that were granted.
    fn play(&self) -> (f64, f64) {
        let settings = RetrySettings {
            lenders: RetrySettings::default().lenders * usize::from(self.lends),
            ..RetrySettings::default()
        };
        let mut rng = SmallRng::seed_from_u64(self.instances as u64);
        let mut fleet: Vec<Instance> = (0..self.instances).map(|_| Instance::default()).collect();
        let (mut requests_ms, mut retries_ms, mut wanted) = (Vec::new(), Vec::new(), 0);
        let step_ms = 20;
        for now_ms in (0..60_000).step_by(step_ms) {
            if self.all_restart_ms.contains(&now_ms) {
                fleet.iter_mut().for_each(|one| one.restart(now_ms));
            }
            if self.half_restarts_ms.contains(&now_ms) {
                fleet
                    .iter_mut()
                    .step_by(2)
                    .for_each(|one| one.restart(now_ms));
            }
            let due = self.requests_per_s * step_ms as f64 / 1_000.0;
            let requests = due as usize + usize::from(rng.random_bool(due.fract()));
            for _ in 0..requests {
                let part = |share: f64| (self.instances as f64 * share).ceil() as usize;
                let (busy, hit) = (part(self.busy_share), part(self.hit_share));
                let at = match rng.random_bool(0.5) {
                    true => rng.random_range(0..busy),
                    false => rng.random_range(0..self.instances),
                };
                fleet[at].budget.record_request(&settings, now_ms);
                requests_ms.push(now_ms);
                let is_rejected = at < hit && now_ms > 15_000 && rng.random_bool(0.9);
                for _ in 0..2 * usize::from(is_rejected) {
                    wanted += 1;
                    if !retry(
                        &mut fleet,
                        at,
                        self.is_partitioned,
                        &settings,
                        &mut rng,
                        now_ms,
                    ) {
                        break;
                    }
                    retries_ms.push(now_ms);
                }
            }
        }
        let used = used_share(&requests_ms, &retries_ms, &settings);
        (used, retries_ms.len() as f64 / f64::from(wanted))
    }
}

/// Returns a line for each size of fleet: the used share of the bound and the share of
/// retries granted, without and with loans.
fn compare_loans(trouble: impl Fn(usize) -> Trouble) -> String {
    let lines = [7, 100, 300].map(|instances| {
        let [without, with] = [false, true].map(|lends| {
            let trouble = Trouble {
                lends,
                ..trouble(instances)
            };
            let (used, granted) = trouble.play();
            assert!(used <= 1.0, "{used} of the bound at {instances} instances");
            format!("used {used:.2}, granted {granted:.3}")
        });
        format!("{instances}: {without}; with loans {with}")
    });
    lines.join("\n")
}

/// Guards against instances that refuse retries which the fleet has left, because callers
/// are uneven or each instance's part is less than one retry.
#[test]
fn instances_lend_what_they_do_not_use() {
    let uneven = compare_loans(|instances| Trouble {
        instances,
        requests_per_s: 20.0 * instances as f64,
        busy_share: 0.1,
        hit_share: 0.1,
        ..Trouble::default()
    });
    let few = compare_loans(|instances| Trouble {
        instances,
        requests_per_s: 6.0,
        ..Trouble::default()
    });
    insta::assert_snapshot!(format!("{uneven}\n{few}"), @r"
    7: used 0.41, granted 0.188; with loans used 0.81, granted 0.312
    100: used 0.45, granted 0.180; with loans used 0.82, granted 0.280
    300: used 0.45, granted 0.180; with loans used 0.83, granted 0.280
    7: used 0.78, granted 0.524; with loans used 0.75, granted 0.517
    100: used 0.05, granted 0.021; with loans used 0.45, granted 0.297
    300: used 0.00, granted 0.000; with loans used 0.34, granted 0.159
    ");
}

/// Guards against starts, alone or together, and partitions that lend retries twice.
#[test]
fn loans_of_instances_that_start_or_are_cut_off_stay_within_the_budget() {
    let starts = compare_loans(|instances| Trouble {
        instances,
        requests_per_s: 20.0 * instances as f64,
        busy_share: 0.3,
        half_restarts_ms: &[18_000, 20_000, 22_000, 31_000, 33_000],
        all_restart_ms: &[25_000, 45_000, 47_000, 49_000],
        ..Trouble::default()
    });
    let cut = compare_loans(|instances| Trouble {
        instances,
        requests_per_s: 20.0 * instances as f64,
        busy_share: 0.3,
        half_restarts_ms: &[18_000, 31_000],
        is_partitioned: true,
        ..Trouble::default()
    });
    insta::assert_snapshot!(format!("{starts}\n{cut}"), @r"
    7: used 0.87, granted 0.139; with loans used 0.86, granted 0.138
    100: used 0.85, granted 0.120; with loans used 0.85, granted 0.120
    300: used 0.85, granted 0.119; with loans used 0.84, granted 0.118
    7: used 0.89, granted 0.187; with loans used 0.88, granted 0.184
    100: used 0.87, granted 0.166; with loans used 0.86, granted 0.162
    300: used 0.87, granted 0.165; with loans used 0.86, granted 0.159
    ");
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Request,
    Retry,
    Restart,
    RestartAll,
}

fn steps() -> impl Strategy<Value = Vec<(usize, u64, Step)>> {
    let step = prop_oneof![
        40 => Just(Step::Request),
        80 => Just(Step::Retry),
        2 => Just(Step::Restart),
        1 => Just(Step::RestartAll),
    ];
    prop::collection::vec((0_usize..9, 1_u64..40, step), 100..1_500)
}

/// Guards against a start that renews what instances may spend, however often and in
/// whatever order they start.
#[test]
fn starts_of_instances_keep_retries_within_the_budget() {
    let settings = RetrySettings::default();
    proptest!(ProptestConfig::with_cases(96), |(count in 1_usize..9, steps in steps())| {
        let mut instances: Vec<Instance> = (0..count).map(|_| Instance::default()).collect();
        let (mut requests_ms, mut retries_ms) = (Vec::new(), Vec::new());
        let mut now_ms = 0;
        for (at, passed_ms, step) in steps {
            now_ms += passed_ms;
            let instance = &mut instances[at % count];
            match step {
                Step::Request => {
                    instance.budget.record_request(&settings, now_ms);
                    requests_ms.push(now_ms);
                }
                Step::Retry => {
                    let share = instance.share(count, now_ms);
                    if instance.budget.try_retry(&settings, share, now_ms) {
                        retries_ms.push(now_ms);
                    }
                }
                Step::Restart => instance.restart(now_ms),
                Step::RestartAll => instances.iter_mut().for_each(|one| one.restart(now_ms)),
            }
        }
        let used = used_share(&requests_ms, &retries_ms, &settings);
        prop_assert!(used <= 1.0, "{used} of the bound");
    });
}

/// Guards against an instance that refuses all retries for a window after its start.
#[test]
fn an_instance_that_has_just_started_may_retry() {
    let settings = RetrySettings::default();
    let mut instance = Instance::default();
    instance.restart(0);
    let mut retries = 0;
    for now_ms in (0..settings.window_ms).step_by(50) {
        instance.budget.record_request(&settings, now_ms);
        let share = instance.share(1, now_ms);
        let granted = instance.budget.try_retry(&settings, share, now_ms);
        retries += u32::from(granted);
    }
    // 0.15 of a fifth of 200 requests and a slack of 50.
    assert!((11..=13).contains(&retries), "{retries}");
}

/// Guards against instances that know nobody taking the whole slack each, and against
/// those behind a partition sharing what the others still use.
#[test]
fn the_slack_is_divided_among_all_that_may_be_serving() {
    let settings = RetrySettings::default();
    let mut sharers = SlackSharers::default();
    let alone = sharers.fraction(0, &settings, 0);
    let of_six = sharers.fraction(5, &settings, 0);
    sharers.record_lost("p", 0);
    sharers.record_lost("q", 0);
    let of_six_behind_a_partition = sharers.fraction(3, &settings, 1_000);
    sharers.record_heard("p");
    let of_five = sharers.fraction(3, &settings, 2_000);
    let after_all_were_lost = sharers.fraction(0, &settings, 2_000);
    sharers.record_fleet_known();
    let alone_by_the_list = sharers.fraction(0, &settings, settings.lost_peer_ms);
    insta::assert_debug_snapshot!(
        [alone, of_six, of_six_behind_a_partition, of_five, after_all_were_lost, alone_by_the_list],
        @r"
    [
        0.0,
        0.16666666666666666,
        0.16666666666666666,
        0.2,
        0.5,
        1.0,
    ]
    "
    );
}

/// Guards against a build that instances of another one can't read during an upgrade.
#[test]
fn loan_messages_keep_their_encoding() {
    let request = LoanRequest {
        number: 300,
        service: "llm".to_owned(),
        milli_retries: 1_500,
    };
    let grant = LoanGrant {
        number: 301,
        milli_retries: 750,
    };
    let messages = [LoanMessage::Request(request), LoanMessage::Grant(grant)];
    let encoded = messages
        .clone()
        .map(|message| message.encode().expect("it is encoded"));
    insta::assert_snapshot!(format!("{encoded:?}"), @"[[0, 172, 2, 3, 108, 108, 109, 220, 11], [1, 173, 2, 238, 5]]");
    let decoded = encoded.map(|bytes| LoanMessage::decode(&bytes).expect("it is decoded"));
    assert_eq!(decoded, messages);
}
