//! Division of an engine's room among instances that see it at the same time.

use mangowalk_core::{
    admission::{ArrivalRate, BacklogSettings, Competition},
    pool::max_sample,
};

const INTERVAL_MS: u64 = 200;

fn competition(instances: usize, waiting: usize) -> Competition {
    Competition::new(instances, waiting, ArrivalRate::default(), INTERVAL_MS, 0)
}

fn admitted(instances: usize, waiting: usize, free_requests: f64, now_ms: u64) -> usize {
    let competition = competition(instances, waiting);
    let requests = (instances * waiting) as u64;
    (0..requests)
        .filter(|request| competition.admits(request * 7_919, "engine", free_requests, now_ms))
        .count()
}

/// Guards against an engine that gets the waiting requests of all instances when it falls free,
/// as none has heard of what the others send.
#[test]
fn an_engine_that_falls_free_gets_about_as_many_requests_as_it_has_room_for() {
    for (instances, waiting) in [(7, 4), (100, 4), (300, 4), (100, 20)] {
        let counts: Vec<usize> = (0..50)
            .map(|interval| admitted(instances, waiting, 4.0, interval * INTERVAL_MS))
            .collect();
        let mean = counts.iter().sum::<usize>() as f64 / counts.len() as f64;
        assert!((3.0..=5.0).contains(&mean), "{instances} instances: {mean}");
        assert!(counts.iter().all(|count| *count <= 14), "{counts:?}");
    }
}

/// Guards against requests that wait although there is room for all that look for some.
#[test]
fn requests_without_competitors_use_any_room() {
    assert_eq!(admitted(1, 4, 4.0, 0), 4);
    assert!(competition(89, 0).admits(1, "engine", 0.5, 0));
}

/// Guards against a request that gets through by asking often before peers are heard.
#[test]
fn the_answer_stays_the_same_for_an_interval() {
    let competition = competition(100, 4);
    let changes = |request: u64| {
        let answers: Vec<bool> = (0..INTERVAL_MS)
            .map(|ms| competition.admits(request, "engine", 200.0, 10_000 + ms))
            .collect();
        answers.windows(2).filter(|pair| pair[0] != pair[1]).count()
    };
    assert!((0..200).all(|request| changes(request) <= 1));
    assert!((0..200).any(|request| changes(request) == 1));
}

/// Guards against a rate that stays high after a burst, or that misses one.
#[test]
fn the_rate_of_arrivals_follows_a_burst_within_seconds() {
    let mut arrivals = ArrivalRate::default();
    for arrival in 0..300 {
        arrivals.record(arrival * 10);
    }
    let per_s = |now_ms| arrivals.per_ms(now_ms) * 1_000.0;
    assert!((80.0..=105.0).contains(&per_s(3_000)), "{}", per_s(3_000));
    assert!(per_s(8_000) < 1.0);
}

/// Guards against short prompts that all choose the engine with the lowest load of the last
/// heartbeat, and against samples that no longer balance the work.
#[test]
fn samples_shrink_with_what_arrives_between_heartbeats() {
    let samples: Vec<usize> = [0.0, 0.1, 1.0, 2.0, 50.0]
        .map(|arrivals| max_sample(arrivals, 32))
        .to_vec();
    assert_eq!(samples, [usize::MAX, 40, 4, 2, 2]);
}

/// Guards against long prompts that take the last slots, for which urgent requests would wait.
#[test]
fn a_part_of_the_slots_is_left_to_urgent_requests() {
    let settings = BacklogSettings::default();
    let free: Vec<bool> = [0, 26, 27, 28, 40]
        .map(|requests| settings.free_slots(requests, 32) >= 1.0)
        .to_vec();
    assert_eq!(free, [true, true, false, false, false]);
}
