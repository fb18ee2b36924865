//! The command `fleet`, the status of records, and the flag `--wait`.

use {
    crate::support::{Client, client_of, eventually, fleet, platform, wait_until_in_force},
    mangowalk_standins::{FleetSettings, PlatformFaults},
    serde_json::json,
};

#[test]
fn every_instance_is_shown_with_its_records_in_force() {
    let fleet = fleet(2, FleetSettings::default());
    let client = client_of(&fleet);
    wait_until_in_force(&fleet, 2);
    let shown = client.run(&["fleet", "--json"]).json();
    let answered = shown["answered"].as_array().expect("instances");
    for (status, router) in answered.iter().zip(sorted(&fleet)) {
        assert_eq!(status["caller_address"], router);
        assert_eq!(status["phase"], "ready");
        assert_eq!(status["upstreams"].as_array().map(Vec::len), Some(3));
    }
}

/// Returns the addresses of the routers in order.
fn sorted(fleet: &mangowalk_standins::Fleet) -> Vec<String> {
    let mut addresses: Vec<_> = fleet.routers.iter().map(|r| r.address()).collect();
    addresses.sort();
    addresses.iter().map(ToString::to_string).collect()
}

/// An instance dies while the platform still lists it. The commands must print
/// the results of the others, name the dead one, and exit with code 6.
#[test]
fn an_instance_that_does_not_answer_is_named() {
    let mut fleet = fleet(2, FleetSettings::default());
    let client = client_of(&fleet);
    wait_until_in_force(&fleet, 2);
    let dead = fleet.routers[1].address().to_string();
    fleet.routers[1].kill();
    for command in ["fleet", "burn"] {
        let run = client.run(&[command]);
        assert_eq!(run.code, 6, "{run}");
        assert!(run.stderr.contains(&dead), "{run}");
        assert!(!run.stdout.is_empty(), "{run}");
    }
}

/// An invalid record is written to the platform without the client. Instances
/// refuse only that record. `fleet` must show the reason, how to correct it,
/// and that the write before it stays in force.
#[test]
fn a_refused_record_is_shown_with_its_remedy() {
    let fleet = fleet(1, FleetSettings::default());
    let client = client_of(&fleet);
    fleet
        .platform
        .put("rate", "gallery", json!({ "schema": 99 }));
    let run = eventually(
        || client.run(&["fleet"]),
        |run| run.stdout.contains("rate/gallery"),
    );
    assert!(
        run.stdout.contains("the write before it stays in force"),
        "{run}"
    );
    assert!(run.stdout.contains("upgrade this instance"), "{run}");
}

/// One instance is frozen during a write. `--wait` must name it and fail, since
/// callers of that instance still see the old record, and succeed once the
/// instance runs again.
#[test]
fn waiting_fails_while_an_instance_is_behind() {
    let fleet = fleet(2, FleetSettings::default());
    let client = client_of(&fleet);
    wait_until_in_force(&fleet, 2);
    fleet.routers[1].pause();
    let behind = client.run(&[
        "set",
        "team",
        "gallery",
        "priority=4",
        "--wait",
        "--wait-timeout-ms=100",
    ]);
    fleet.routers[1].resume();
    assert_eq!(behind.code, 6, "{behind}");
    let frozen = fleet.routers[1].address().to_string();
    assert!(behind.stderr.contains(&frozen), "{behind}");
    let done = client.run(&["set", "team", "gallery", "priority=3", "--wait"]);
    assert_eq!(done.code, 0, "{done}");
    assert!(done.stderr.contains("in force on 2 of 2"), "{done}");
}

/// The platform's list lags and has no instance. `--wait` must fail instead of
/// reporting a write as in force on all of zero instances.
#[test]
fn waiting_for_no_instance_fails() {
    let platform = platform();
    platform.put("team", "gallery", json!({ "schema": 1 }));
    let client = Client::new(platform.address());
    let run = client.run(&[
        "set",
        "team",
        "gallery",
        "priority=4",
        "--wait",
        "--wait-timeout-ms=1",
    ]);
    assert_eq!(run.code, 6, "{run}");
}

/// One instance publishes the status of each record on the platform. `show`
/// must print the reason for a refused record and that a corrected one is in
/// force. It must not print a status of an older version, whoever wrote it.
#[test]
fn a_refused_record_has_a_status_until_it_is_corrected() {
    let fleet = fleet(2, FleetSettings::default());
    let client = client_of(&fleet);
    let bad = fleet
        .platform
        .put("rate", "gallery", json!({ "schema": 99 }));
    let show = || client.run(&["show", "rate", "gallery"]);
    let refused = format!("Version {bad} was refused, version");
    let run = eventually(show, |run| run.stderr.contains(&refused));
    assert!(run.stderr.contains("stays in force"), "{run}");
    assert!(run.stderr.contains("upgrade this instance"), "{run}");
    let stale = fleet
        .platform
        .get("status", "rate.gallery")
        .expect("the status");
    let good = json!({ "schema": 1, "tokens_per_s": 9, "burst_tokens": 9 });
    let good = fleet.platform.put("rate", "gallery", good);
    let in_force = format!("Version {good} is in force.");
    eventually(show, |run| run.stderr.contains(&in_force));
    fleet.platform.put("status", "rate.gallery", stale.body);
    let run = show();
    assert_eq!(run.stderr, "", "{run}");
}

/// The instance answers, but its watch of the platform is stalled, so that it
/// has not received the write. `--wait` must not count it as having the write
/// in force.
#[test]
fn an_instance_with_a_stalled_watch_is_not_in_force() {
    let fleet = fleet(1, FleetSettings::default());
    let client = client_of(&fleet);
    wait_until_in_force(&fleet, 1);
    fleet.platform.set_faults(PlatformFaults {
        mute_watches: true,
        ..PlatformFaults::default()
    });
    let set = |priority| {
        let field = format!("priority={priority}");
        client.run(&[
            "set",
            "team",
            "gallery",
            &field,
            "--wait",
            "--wait-timeout-ms=1",
        ])
    };
    let behind = set(4);
    assert_eq!(behind.code, 6, "{behind}");
    assert!(behind.stderr.contains("in force on 0 of 1"), "{behind}");
    fleet.platform.set_faults(PlatformFaults::default());
    let field = ["set", "team", "gallery", "priority=4", "--wait"];
    let done = client.run(&field);
    assert_eq!(done.code, 0, "{done}");
}
