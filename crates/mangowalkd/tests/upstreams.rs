//! What failing engines are sent, judged by what they and callers receive.

use mangowalk_standins::{EngineFaults, Fleet, FleetSettings};

const REQUESTS: u64 = 30;

fn fleet(engines: usize) -> Fleet {
    let fleet = Fleet::start(&FleetSettings {
        program: env!("CARGO_BIN_EXE_mangowalkd").to_owned(),
        engines,
        ..FleetSettings::default()
    });
    fleet.until_served();
    fleet
}

/// The only engine refuses everything. After three attempts the router stops
/// to send, but for one probe after each pause; without the breaker the
/// engine would get every request and the callers would wait for it.
#[test]
fn a_failing_engine_is_left_alone() {
    let fleet = fleet(1);
    let before = fleet.engines[0].attempts();
    fleet.engines[0].set_faults(EngineFaults {
        refuse_status: Some(500),
        ..EngineFaults::default()
    });
    for i in 0..REQUESTS {
        let answer = fleet.chat(0, &format!("order {i}"), 5, false);
        assert_eq!(answer.status, 503);
    }
    let sent = fleet.engines[0].attempts() - before;
    assert!((3..REQUESTS / 2).contains(&sent), "{sent}");
}

/// One engine of two is dead. No caller notices, and the other serves all.
#[test]
fn a_dead_engine_is_noticed_by_no_caller() {
    let fleet = fleet(2);
    fleet.engines[0].crash();
    for i in 0..REQUESTS {
        let answer = fleet.chat(0, &format!("order {i}"), 5, false);
        assert_eq!(answer.text(), Fleet::expected(&format!("order {i}"), 5));
    }
}
