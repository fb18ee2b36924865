//! Queueing and refusal of requests while every engine is full.

use {
    mangowalk_standins::{Answer, EngineSettings, Fleet, FleetSettings},
    std::thread,
};

fn fleet_with_two_slots(favour: &str) -> Fleet {
    let fleet = Fleet::start(&FleetSettings {
        program: env!("CARGO_BIN_EXE_mangowalkd").to_owned(),
        engines: 1,
        engine: EngineSettings {
            slots: 2,
            token_us: 10_000,
            ..EngineSettings::default()
        },
        router_args: vec![format!("--favour={favour}")],
        ..FleetSettings::default()
    });
    fleet.wait_until_served();
    fleet
}

/// Sends requests concurrently and returns their responses.
fn send_concurrently(fleet: &Fleet, count: usize, tokens: u32) -> Vec<Answer> {
    thread::scope(|scope| {
        let callers: Vec<_> = (0..count)
            .map(|i| scope.spawn(move || fleet.chat(0, &format!("caller {i}"), tokens, false)))
            .collect();
        callers
            .into_iter()
            .map(|c| c.join().expect("the caller finishes"))
            .collect()
    })
}

/// Twelve requests arrive at the same time at an engine that runs two at a
/// time. All can be served in time, so all are: the others wait in the router's
/// queue, and the engine never holds more requests than it can run.
#[test]
fn a_burst_is_queued_and_served() {
    let fleet = fleet_with_two_slots("worst-team");
    let answers = send_concurrently(&fleet, 12, 10);
    assert!(answers.iter().all(|a| a.status == 200));
}

/// Forty requests with answers of one second each arrive at the same time, and
/// a request may wait for at most four seconds of work. Those that can't be
/// served in time are refused as not run, with a retry time, and never reach
/// the engine. The others are served completely.
#[test]
fn a_request_that_cannot_be_served_in_time_is_refused_as_not_run() {
    let fleet = fleet_with_two_slots("first-token");
    let answers = send_concurrently(&fleet, 40, 100);
    let refused: Vec<&Answer> = answers.iter().filter(|a| a.status == 503).collect();
    assert!(!refused.is_empty());
    for answer in &refused {
        assert_eq!(
            answer.json()["error"]["outcome"],
            "not_run",
            "{}",
            answer.body
        );
        assert!(answer.header("retry-after").is_some());
    }
    let served = answers.iter().filter(|a| a.status == 200).count();
    let others: Vec<(u16, &str)> = answers
        .iter()
        .filter(|a| a.status != 200 && a.status != 503)
        .map(|a| (a.status, a.body.as_str()))
        .collect();
    assert!(others.is_empty(), "{others:?}");
    assert_eq!(served + refused.len(), answers.len());
    let ran: u64 = fleet.engines[0]
        .prompts()
        .iter()
        .filter(|(prompt, _)| prompt.contains("caller"))
        .map(|(_, times)| times)
        .sum();
    assert_eq!(ran as usize, served);
}
