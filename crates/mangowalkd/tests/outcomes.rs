//! What a refusal says of the request is true.

use {
    mangowalk_standins::{Answer, EngineFaults, Fleet, FleetSettings},
    std::{thread, time::Duration},
};

fn fleet_with(faults: &EngineFaults) -> Fleet {
    let fleet = Fleet::start(&FleetSettings {
        program: env!("CARGO_BIN_EXE_mangowalkd").to_owned(),
        router_args: vec![
            "--first-token-timeout-ms=300".to_owned(),
            "--token-timeout-ms=300".to_owned(),
        ],
        ..FleetSettings::default()
    });
    fleet.until_served();
    for engine in &fleet.engines {
        engine.set_faults(faults.clone());
    }
    fleet
}

fn outcome(answer: &Answer) -> (u16, &str) {
    let outcome = answer.header("x-mangowalk-outcome").unwrap_or("none");
    (answer.status, outcome)
}

fn runs(fleet: &Fleet, prompt: &str) -> u64 {
    let prompts = fleet.engines.iter().flat_map(|e| e.prompts());
    prompts
        .filter(|(text, _)| text.contains(prompt))
        .map(|(_, count)| count)
        .sum()
}

/// Every engine refuses before it runs anything. "Not run" is true, and the
/// caller is told when to come back.
#[test]
fn a_request_refused_by_every_engine_is_reported_as_not_run() {
    let fleet = fleet_with(&EngineFaults {
        refuse_status: Some(503),
        ..EngineFaults::default()
    });
    let answer = fleet.chat(0, "nobody", 5, false);
    assert_eq!(outcome(&answer), (503, "not_run"));
    assert!(answer.header("retry-after").is_some());
    assert_eq!(answer.header("x-should-retry"), Some("true"));
    assert_eq!(runs(&fleet, "nobody"), 0);
}

/// The engines state in an event that nothing ran.
#[test]
fn an_engine_error_of_not_run_is_reported_as_not_run() {
    let fleet = fleet_with(&EngineFaults {
        fail_not_run: Some(true),
        ..EngineFaults::default()
    });
    let answer = fleet.chat(0, "stated", 5, true);
    assert_eq!(outcome(&answer), (503, "not_run"));
}

/// Every engine takes the request and says nothing. Whether it ran is not
/// known, so "not run" would be a lie, and nobody is told to send it again.
#[test]
fn a_request_without_an_answer_has_an_unknown_outcome() {
    let fleet = fleet_with(&EngineFaults {
        freeze_after_tokens: Some(0),
        ..EngineFaults::default()
    });
    let answer = fleet.chat(0, "silence", 5, false);
    assert_eq!(outcome(&answer), (502, "unknown"));
    assert_eq!(answer.header("x-should-retry"), Some("false"));
    assert!(runs(&fleet, "silence") > 0);
}

/// The caller waits 300 ms for a first token, and no engine has one. It is
/// told then, and no further engine is given work for nobody.
#[test]
fn a_request_past_its_deadline_is_not_retried() {
    let fleet = Fleet::start(&FleetSettings {
        program: env!("CARGO_BIN_EXE_mangowalkd").to_owned(),
        router_args: ["request", "first-token", "drain"]
            .map(|name| format!("--{name}-timeout-ms=300000"))
            .to_vec(),
        ..FleetSettings::default()
    });
    fleet.until_served();
    for engine in &fleet.engines {
        engine.set_faults(EngineFaults {
            freeze_after_tokens: Some(0),
            ..EngineFaults::default()
        });
    }
    let bearer = format!("Bearer {}", Fleet::KEY);
    let headers = [
        ("Authorization", bearer.as_str()),
        ("x-mangowalk-deadline-ms", "300"),
    ];
    let body = r#"{"model":"drafting","prompt":"late","max_tokens":5}"#;
    let address = fleet.routers[0].address();
    let answer = Answer::post(address, "/v1/completions", &headers, body);
    assert_eq!(outcome(&answer), (502, "unknown"), "{}", answer.body);
    let log = || fleet.routers[0].log();
    while !log().contains("Attempt 1 of") {
        thread::sleep(Duration::from_millis(20));
    }
    assert!(!log().contains("Attempt 2 of"), "{}", log());
}

/// Tokens came and the rest did not. The request ran.
#[test]
fn an_interrupted_request_is_reported_as_ran() {
    let fleet = fleet_with(&EngineFaults {
        cut_after_tokens: Some(2),
        ..EngineFaults::default()
    });
    // Each attempt brings two tokens more: four of them bring eight.
    let answer = fleet.chat(0, "half", 50, false);
    assert_eq!(outcome(&answer), (502, "ran"));
}
