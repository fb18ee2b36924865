//! The status that is written for operators' records.

use {
    mangowalk_standins::{Fleet, FleetSettings, eventually},
    serde_json::{Value, json},
    std::{thread, time::Duration},
};

fn fleet(routers: usize) -> Fleet {
    Fleet::start(&FleetSettings {
        program: env!("CARGO_BIN_EXE_mangowalkd").to_owned(),
        routers,
        ..FleetSettings::default()
    })
}

fn status(fleet: &Fleet, name: &str) -> Value {
    let object = fleet.platform.get("status", name);
    object.map_or(Value::Null, |o| o.body)
}

/// An operator writes a record with an invalid value, and one with a newer
/// schema. The status of each must say why it is refused, how to correct it and
/// which version is in force. The corrected record must be accepted.
#[test]
fn status_says_why_a_record_is_refused() {
    let fleet = fleet(2);
    eventually("records are accepted", || {
        status(&fleet, "rate.gallery")["accepted"] == json!(true)
    });
    let before = fleet.platform.get("team", "gallery").expect("record");
    let bad = json!({ "schema": 1, "tokens_per_s": 0, "burst_tokens": 5 });
    let bad = fleet.platform.put("rate", "gallery", bad);
    fleet
        .platform
        .put("team", "gallery", json!({ "schema": 7 }));
    eventually("both are refused", || {
        status(&fleet, "rate.gallery")["version"] == json!(bad)
            && status(&fleet, "team.gallery")["accepted"] == json!(false)
    });
    let why = |name| {
        status(&fleet, name)["why"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    };
    insta::assert_snapshot!(format!("{}\n{}", why("rate.gallery"), why("team.gallery")));
    assert_eq!(
        status(&fleet, "team.gallery")["version_in_force"],
        before.version
    );
    let good = json!({ "schema": 1, "tokens_per_s": 9, "burst_tokens": 5 });
    fleet.platform.put("rate", "gallery", good);
    eventually("the corrected record is accepted", || {
        status(&fleet, "rate.gallery")["accepted"] == json!(true)
    });
    fleet.platform.delete("rate", "gallery");
    eventually("a withdrawn record has no status", || {
        status(&fleet, "rate.gallery").is_null()
    });
}

/// The instance that writes status dies while no record changes. The next lease
/// holder must read the written status and not write it again. While nothing
/// changes, the lease is the only object that a writer of status keeps writing.
#[test]
fn unchanged_status_is_not_written_again() {
    let mut fleet = fleet(3);
    eventually("every record has its status", || {
        fleet.platform.list("status").len() == 7
    });
    let written = fleet.platform.list("status");
    let lease = fleet.platform.get("lease", "status").expect("a lease");
    let holder = lease.body["holder"].as_str().unwrap_or_default().to_owned();
    let holder = fleet
        .routers
        .iter_mut()
        .find(|r| r.address().to_string() == holder);
    holder.expect("the holder").kill();
    eventually("another instance holds the lease", || {
        let now = fleet.platform.get("lease", "status");
        now.is_some_and(|now| now.body["holder"] != lease.body["holder"])
    });
    thread::sleep(Duration::from_secs(2));
    assert_eq!(fleet.platform.list("status"), written);
}
