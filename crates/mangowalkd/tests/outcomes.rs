//! The outcome that a refusal reports matches what happened to the request.

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
    fleet.wait_until_served();
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

/// Every engine refuses the request before it runs. The outcome is `not_run`,
/// and the response says when to retry.
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

/// The engines report in an event that the request did not run.
#[test]
fn an_engine_error_of_not_run_is_reported_as_not_run() {
    let fleet = fleet_with(&EngineFaults {
        fail_not_run: Some(true),
        ..EngineFaults::default()
    });
    let answer = fleet.chat(0, "stated", 5, true);
    assert_eq!(outcome(&answer), (503, "not_run"));
}

/// Every engine accepts the request and sends nothing. It is not known whether
/// the request ran, so the outcome is `unknown` and the caller is not told to
/// retry.
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

/// The caller's deadline for the first token is 300 ms, and no engine sends
/// one. The request fails then, and is not sent to another engine whose answer
/// nobody would receive.
#[test]
fn a_request_past_its_deadline_is_not_retried() {
    let fleet = Fleet::start(&FleetSettings {
        program: env!("CARGO_BIN_EXE_mangowalkd").to_owned(),
        router_args: ["request", "first-token", "drain"]
            .map(|name| format!("--{name}-timeout-ms=300000"))
            .to_vec(),
        ..FleetSettings::default()
    });
    fleet.wait_until_served();
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

/// Every attempt is interrupted after some tokens, so the outcome is `ran`.
#[test]
fn an_interrupted_request_is_reported_as_ran() {
    let fleet = fleet_with(&EngineFaults {
        cut_after_tokens: Some(2),
        ..EngineFaults::default()
    });
    // Each attempt yields two more tokens: four of them yield eight.
    let answer = fleet.chat(0, "half", 50, false);
    assert_eq!(outcome(&answer), (502, "ran"));
}
