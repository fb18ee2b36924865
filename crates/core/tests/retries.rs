//! Retry budgets of several instances, without a network.

use {
    mangowalk_core::retries::{BudgetShare, FleetRetryBudget, RetrySettings, SlackSharers},
    proptest::prelude::*,
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
/// the window, of the one before it or of the one half a window before it.
fn used_share(requests_ms: &[u64], retries_ms: &[u64], settings: &RetrySettings) -> f64 {
    let window_ms = settings.window_ms;
    let count = |times_ms: &[u64], from_ms: u64| {
        let inside = |at_ms: &&u64| (from_ms..from_ms + window_ms).contains(*at_ms);
        times_ms.iter().filter(inside).count() as f64
    };
    let shares = retries_ms.iter().map(|&from_ms| {
        let earlier_ms = [0, window_ms / 2, window_ms].map(|ms| from_ms.saturating_sub(ms));
        let requests = earlier_ms.map(|from_ms| count(requests_ms, from_ms));
        let most = requests.into_iter().fold(0.0, f64::max);
        count(retries_ms, from_ms) / (settings.ratio * most + settings.slack)
    });
    shares.fold(0.0, f64::max)
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
