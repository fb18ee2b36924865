//! The command `burn`, against router processes.

use {
    crate::support::{client_of, eventually, fleet},
    mangowalk_standins::{Fleet, FleetSettings},
    serde_json::Value,
};

/// Returns the first row of an objective.
fn row<'a>(report: &'a Value, objective: &str) -> &'a Value {
    let rows = report["rows"].as_array().expect("rows");
    rows.iter()
        .find(|r| r["objective"] == objective)
        .expect("a row")
}

/// Requests go to two instances in turn. The report must count each request
/// once, as its caller saw it.
#[test]
fn the_report_counts_each_request_once() {
    let fleet = fleet(2, FleetSettings::default());
    let client = client_of(&fleet);
    let mut received = [0u64; 2];
    for i in 0..40 {
        let answer = fleet.chat(i % 2, &format!("order {i}"), 4, true);
        received[usize::from(answer.status != 200)] += 1;
    }
    let run = eventually(
        || client.run(&["burn", "--json"]),
        |run| run.json()["answered"].as_array().map(Vec::len) == Some(2),
    );
    let report = run.json();
    for objective in ["first_token", "complete"] {
        for window in row(&report, objective)["windows"]
            .as_array()
            .expect("windows")
        {
            let sum = window["good"].as_u64().zip(window["bad"].as_u64());
            assert_eq!(
                sum.map(|(good, bad)| good + bad),
                Some(received[0]),
                "{run}"
            );
        }
    }
    let over_rate = &report["teams"][0]["over_rate"][0];
    let turned_away = &row(&report, "admitted")["windows"][0]["bad"];
    let refused = over_rate.as_u64().max(turned_away.as_u64());
    assert_eq!(refused, Some(received[1]), "{run}");
}

/// Both engines crash within every answer until the router gives up, so that
/// the caller's stream is cut off. The report must count it against the
/// objective `complete`.
#[test]
fn interrupted_answers_burn_the_error_budget() {
    let fleet = fleet(1, FleetSettings::default());
    let client = client_of(&fleet);
    wait_until_served(&fleet);
    for engine in &fleet.engines {
        engine.set_faults(mangowalk_standins::EngineFaults {
            crash_after_tokens: Some(2),
            ..Default::default()
        });
    }
    let cut = fleet.chat(0, "cut", 20, true);
    assert!(!cut.is_done(), "{}", cut.body);
    let report = client.run(&["burn", "--json"]).json();
    assert_eq!(row(&report, "complete")["windows"][0]["bad"], 1, "{report}");
    assert_eq!(row(&report, "complete")["level"], "fast", "{report}");
}

/// Waits until the router has answered a request.
fn wait_until_served(fleet: &Fleet) {
    for _ in 0..100 {
        if fleet.chat(0, "warm", 1, false).status == 200 {
            return;
        }
        std::thread::sleep(std::time::Duration::from_millis(100));
    }
    panic!("the router served nothing");
}
