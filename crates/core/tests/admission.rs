//! Order of service, fairness and refusals of the queue, without a network.

use {
    mangowalk_core::admission::{AdmissionSettings, FairQueue, Job},
    proptest::prelude::*,
    std::collections::HashSet,
};

fn job(id: u64, team: &str, tokens: u64, arrived_ms: u64) -> Job {
    Job {
        id,
        team: team.to_owned(),
        weight: 1.0,
        priority: 5,
        tokens,
        arrived_ms,
        deadline_ms: None,
        avoid: HashSet::new(),
        model: "drafting".to_owned(),
        version: "v1".to_owned(),
        chain: Vec::new(),
        cache_store_blocks: 0,
    }
}

fn queue() -> FairQueue {
    FairQueue::new(AdmissionSettings::default(), 3)
}

fn push(queue: &mut FairQueue, job: Job) {
    let now_ms = job.arrived_ms;
    queue.push(job, now_ms).expect("room");
}

fn take_next(queue: &mut FairQueue, now_ms: u64) -> Job {
    let taken = queue.take_next(now_ms, 4, |_| Some(()));
    taken.expect("a request that waits").0
}

/// Drains a queue at 1,000 tokens per 100 ms for 4 s, so that it knows its drain
/// rate. Returns the time in milliseconds, 4,000.
fn drain_for_four_seconds(queue: &mut FairQueue) -> u64 {
    push(queue, job(0, "gallery", 1_000, 0));
    for i in 1..40 {
        push(queue, job(i, "gallery", 1_000, i * 100));
        take_next(queue, i * 100);
    }
    take_next(queue, 4_000);
    4_000
}

/// One team queues ten times as many requests as the other. Both must be served
/// the same number of tokens, although their requests differ in length.
#[test]
fn an_overloading_team_gets_only_its_fair_share() {
    let mut queue = queue();
    for i in 0..100 {
        push(&mut queue, job(i, "hot", 500, 0));
    }
    for i in 100..110 {
        push(&mut queue, job(i, "calm", 1_000, 0));
    }
    let served: Vec<Job> = (0..15).map(|_| take_next(&mut queue, 0)).collect();
    let tokens = |team: &str| -> u64 {
        served
            .iter()
            .filter(|j| j.team == team)
            .map(|j| j.tokens)
            .sum()
    };
    assert_eq!((tokens("hot"), tokens("calm")), (5_000, 5_000));
}

/// A team was idle while another was served for a long time. It must not
/// displace the other team afterwards: unused time gives no credit.
#[test]
fn an_idle_team_accumulates_no_credit() {
    let mut queue = queue();
    for i in 0..40 {
        push(&mut queue, job(i, "steady", 1_000, 0));
    }
    for _ in 0..20 {
        take_next(&mut queue, 0);
    }
    for i in 100..120 {
        push(&mut queue, job(i, "idle", 1_000, 0));
    }
    let served: Vec<Job> = (0..10).map(|_| take_next(&mut queue, 0)).collect();
    let idle = served.iter().filter(|j| j.team == "idle").count();
    assert!((4..=6).contains(&idle), "{idle} of 10");
}

/// Short requests keep arriving while a long one of the same team is queued.
/// They are served first, but the long one must be served within 1.5 s while
/// they still arrive.
#[test]
fn short_requests_overtake_long_ones_without_starving_them() {
    let mut queue = queue();
    push(&mut queue, job(0, "gallery", 6_000, 0));
    push(&mut queue, job(1, "gallery", 200, 0));
    assert_eq!(take_next(&mut queue, 0).id, 1);
    let served_ms = (1..=40).map(|i| i * 50).find(|now_ms| {
        push(&mut queue, job(*now_ms, "gallery", 200, *now_ms));
        take_next(&mut queue, *now_ms).id == 0
    });
    assert!(served_ms.is_some_and(|ms| ms <= 1_500), "{served_ms:?}");
}

/// Queued requests would all be served in time until the engines stall. Those
/// that will miss their maximum wait of 2 s must be refused as soon as the
/// prediction shows it, the first at most 1.5 s after its arrival, while its
/// caller still has time to go elsewhere.
#[test]
fn requests_that_will_miss_their_deadline_are_refused_early() {
    let mut queue = queue();
    let start_ms = drain_for_four_seconds(&mut queue);
    for i in 0..10 {
        push(&mut queue, job(i, "gallery", 1_000, start_ms));
    }
    assert!(queue.take_overdue(start_ms + 100).is_empty());
    let refused_at_ms = (1..=20)
        .map(|i| start_ms + i * 100)
        .find(|now_ms| !queue.take_overdue(*now_ms).is_empty());
    assert!(
        refused_at_ms.is_some_and(|ms| ms <= start_ms + 1_500),
        "{refused_at_ms:?}"
    );
}

/// Requests arrive whose predicted wait exceeds the maximum. They must be
/// refused at once, with different retry times; otherwise all would retry
/// together and find the queue full again.
#[test]
fn a_request_that_cannot_be_served_in_time_is_refused_on_arrival() {
    let mut queue = queue();
    let now_ms = drain_for_four_seconds(&mut queue);
    for i in 0..21 {
        push(&mut queue, job(i, "gallery", 1_000, now_ms));
    }
    let refused: Vec<_> = (0..30)
        .map(|i| queue.push(job(50 + i, "gallery", 3_000, now_ms), now_ms))
        .map(|full| full.expect_err("too late"))
        .collect();
    let mut retries: Vec<u64> = refused.iter().map(|f| f.retry_ms).collect();
    retries.sort_unstable();
    retries.dedup();
    assert!(retries.len() >= 20, "{retries:?}");
    assert!(
        retries[retries.len() - 1] - retries[0] >= 300,
        "{retries:?}"
    );
}

proptest! {
    /// Two teams with requests of any length are backlogged throughout. The
    /// tokens served to them may differ by at most twice the longest request,
    /// and every request must be served.
    #[test]
    fn two_backlogged_teams_receive_equal_service(
        lengths in prop::collection::vec((1_u64..5_000, 1_u64..5_000), 40),
    ) {
        let mut queue = queue();
        for (i, (a, b)) in lengths.iter().enumerate() {
            push(&mut queue, job(i as u64, "a", *a, 0));
            push(&mut queue, job(1_000 + i as u64, "b", *b, 0));
        }
        let mut served = [0_u64; 2];
        let mut left = [lengths.len(); 2];
        while !queue.is_empty() {
            let taken = take_next(&mut queue, 0);
            let team = usize::from(taken.team == "b");
            served[team] += taken.tokens;
            left[team] -= 1;
            if left.iter().all(|n| *n > 0) {
                prop_assert!(served[0].abs_diff(served[1]) <= 10_000, "{served:?}");
            }
        }
        prop_assert_eq!(left, [0, 0]);
    }
}
