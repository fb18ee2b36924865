//! Changes of weights versions, through real processes.

use {
    mangowalk_standins::{EngineFaults, EngineSettings, Fleet, FleetSettings, eventually},
    serde_json::json,
    std::{
        sync::atomic::{AtomicBool, Ordering},
        thread,
        time::Duration,
    },
};

const MODEL: &str = "drafting";

fn fleet(routers: usize, checks_fencing: bool) -> Fleet {
    Fleet::start(&FleetSettings {
        program: env!("CARGO_BIN_EXE_mangowalkd").to_owned(),
        routers,
        engines: 3,
        engine: EngineSettings {
            checks_fencing,
            ..EngineSettings::default()
        },
        ..FleetSettings::default()
    })
}

fn write_version(fleet: &Fleet, version: &str) {
    let record = json!({ "schema": 1, "version": version });
    fleet.platform.put("model", MODEL, record);
}

fn all_serve(fleet: &Fleet, version: &str) -> bool {
    let serves = |e: &mangowalk_standins::EngineStandIn| e.state().version == version;
    fleet.engines.iter().all(serves) && fleet.platform.list("drain").is_empty()
}

fn eventually_all_serve(fleet: &Fleet, version: &str) {
    eventually(&format!("every engine serves {version}"), || {
        all_serve(fleet, version)
    });
}

fn plan(fleet: &Fleet) -> serde_json::Value {
    let object = fleet.platform.get("rollout", MODEL);
    object.map(|o| o.body).unwrap_or_default()
}

/// Returns the number of the router that holds the lease.
fn holder(fleet: &Fleet) -> Option<usize> {
    let lease = fleet.platform.get("lease", &format!("rollout.{MODEL}"))?;
    let holder = lease.body["holder"].as_str()?.to_owned();
    let is_holder = |r: &mangowalk_standins::RouterProcess| r.address().to_string() == holder;
    fleet.routers.iter().position(is_holder)
}

fn eventually_holder(fleet: &Fleet) -> usize {
    let mut found = None;
    eventually("an engine is drained by a holder", || {
        found = holder(fleet);
        found.is_some() && !fleet.platform.list("drain").is_empty()
    });
    found.unwrap_or_default()
}

/// Fencing numbers that an engine followed never fall.
fn assert_no_stale_order(fleet: &Fleet) {
    for engine in &fleet.engines {
        let numbers: Vec<u64> = engine.orders().iter().map(|o| o.fencing).collect();
        assert!(numbers.is_sorted(), "{numbers:?}");
    }
}

/// The version changes while callers send requests. Each is answered in full,
/// by the old version or by the new one: an engine is drained before it
/// loads, and put back once it answered.
#[test]
fn callers_notice_nothing_of_a_rollout() {
    let fleet = fleet(2, true);
    change_version_under_traffic(&fleet, 4);
}

/// The same with engines that serve one request at a time, so that requests
/// wait. Some wait for the old version when its last engine is drained, and
/// get the new one.
#[test]
fn queued_callers_notice_nothing_of_a_rollout() {
    let fleet = Fleet::start(&FleetSettings {
        program: env!("CARGO_BIN_EXE_mangowalkd").to_owned(),
        engines: 2,
        engine: EngineSettings {
            slots: 1,
            ..EngineSettings::default()
        },
        ..FleetSettings::default()
    });
    change_version_under_traffic(&fleet, 6);
}

fn change_version_under_traffic(fleet: &Fleet, callers: usize) {
    let routers = fleet.routers.len();
    eventually("the routers serve", || {
        (0..routers).all(|r| fleet.chat(r, "warm", 2, false).status == 200)
    });
    let over = AtomicBool::new(false);
    thread::scope(|scope| {
        for caller in 0..callers {
            let over = &over;
            scope.spawn(move || {
                let mut turn = 0;
                while !over.load(Ordering::SeqCst) {
                    let prompt = format!("caller {caller} turn {turn}");
                    let answer = fleet.chat(caller % routers, &prompt, 20, true);
                    let expected = Fleet::expected(&prompt, 20);
                    assert_eq!(answer.streamed_text(), expected, "{}", answer.body);
                    assert!(answer.is_done());
                    turn += 1;
                }
            });
        }
        write_version(fleet, "v2");
        eventually_all_serve(fleet, "v2");
        over.store(true, Ordering::SeqCst);
    });
    let plan = fleet.platform.get("rollout", MODEL).expect("a plan").body;
    assert!(plan["failure"].is_null(), "{plan}");
}

/// The weights of a version can't be loaded. One engine meets it; the rollout
/// stops, says why, and every engine serves the old version.
#[test]
fn a_version_that_does_not_load_stops_by_itself() {
    let fleet = fleet(2, true);
    for engine in &fleet.engines {
        engine.set_faults(EngineFaults {
            refuse_loads: Some("no such weights".to_owned()),
            ..EngineFaults::default()
        });
    }
    write_version(&fleet, "v9");
    eventually("the rollout says why it stopped", || {
        let reason = plan(&fleet)["failure"]["reason"].to_string();
        reason.contains("no such weights")
    });
    eventually_all_serve(&fleet, "v1");
    assert!(fleet.engines.iter().all(|e| e.orders().is_empty()));
    eventually("callers are served", || {
        fleet.chat(0, "still here", 5, false).status == 200
    });
}

/// A version was rolled out; the next one loads and gives no answers. The
/// probe finds it before any caller does, and the engine goes back to the
/// version before it, not to the one before the last. Written back by the
/// operators, that version clears the failure.
#[test]
fn a_version_that_does_not_answer_goes_back() {
    let fleet = fleet(2, true);
    write_version(&fleet, "v2");
    eventually("the first rollout is noted as done", || {
        plan(&fleet)["done"] == json!(true) && all_serve(&fleet, "v2")
    });
    let orders = || -> usize { fleet.engines.iter().map(|e| e.orders().len()).sum() };
    let before = orders();
    for engine in &fleet.engines {
        engine.set_faults(EngineFaults {
            freeze_after_tokens: Some(0),
            ..EngineFaults::default()
        });
    }
    write_version(&fleet, "v9");
    eventually("the rollout stops", || !plan(&fleet)["failure"].is_null());
    for engine in &fleet.engines {
        engine.set_faults(EngineFaults::default());
    }
    eventually_all_serve(&fleet, "v2");
    assert_eq!(orders() - before, 2, "one engine went there and back");
    write_version(&fleet, "v2");
    eventually("the failure is cleared", || {
        plan(&fleet)["failure"].is_null() && plan(&fleet)["target"] == json!("v2")
    });
    assert_eq!(orders() - before, 2);
}

/// The instance that rolls out is killed while an engine is out. Another one
/// takes over when the lease has lapsed, finds the mark and goes on.
#[test]
fn a_rollout_outlives_its_holder() {
    let mut fleet = fleet(3, true);
    write_version(&fleet, "v2");
    let holder = eventually_holder(&fleet);
    fleet.routers[holder].kill();
    eventually_all_serve(&fleet, "v2");
    assert_no_stale_order(&fleet);
}

/// The holder is paused, another one finishes, and the operators go on to
/// the next version. The first one wakes with the old version in mind. Its
/// lease has lapsed by its own clock, so it orders nothing; these engines
/// would follow it, because they ignore fencing numbers.
#[test]
fn a_holder_that_wakes_up_gives_no_stale_order() {
    let fleet = fleet(3, false);
    write_version(&fleet, "v2");
    let holder = eventually_holder(&fleet);
    fleet.routers[holder].pause();
    write_version(&fleet, "v3");
    eventually_all_serve(&fleet, "v3");
    fleet.routers[holder].resume();
    eventually("the one that woke up knows the version", || {
        fleet.chat(holder, "awake", 2, false).status == 200
    });
    thread::sleep(Duration::from_secs(3));
    assert_no_stale_order(&fleet);
    eventually_all_serve(&fleet, "v3");
}

/// An engine restarts behind the rollout and comes back with the weights it
/// was set up with. It is ordered again.
#[test]
fn an_engine_that_restarts_is_ordered_again() {
    let fleet = fleet(1, true);
    write_version(&fleet, "v2");
    eventually_all_serve(&fleet, "v2");
    fleet.engines[1].crash();
    fleet.engines[1].restart();
    eventually("the engine is back with old weights", || {
        fleet.engines[1].state().version == "v1"
    });
    eventually_all_serve(&fleet, "v2");
}

/// A holder died after its engine had loaded and before the mark was gone.
/// Left there, the mark would keep the engine idle for good.
#[test]
fn a_mark_that_was_left_behind_goes() {
    let fleet = fleet(2, true);
    let mark = json!({ "schema": 1, "model": MODEL });
    fleet.platform.put("drain", "engine-0", mark);
    eventually_all_serve(&fleet, "v1");
    assert!(fleet.engines.iter().all(|e| e.orders().is_empty()));
}

/// An engine is marked as draining by whoever drains it. A moment later no
/// instance sends it new requests, and callers are still served.
#[test]
fn a_drained_engine_gets_no_new_work() {
    let fleet = fleet(2, true);
    let mark = json!({ "schema": 1, "model": "of-another-holder" });
    fleet.platform.put("drain", "engine-0", mark);
    let started = || -> u64 { fleet.engines[0].prompts().values().sum() };
    let all_served = |turn: &str| {
        (0..16).all(|i| fleet.chat(i % 2, &format!("{turn} {i}"), 2, false).status == 200)
    };
    eventually("requests leave engine-0 out", || {
        let before = started();
        all_served("until") && started() == before
    });
    let before = started();
    assert!(all_served("after"));
    assert_eq!(started(), before);
}

/// Streams of several seconds run while the version changes. Each ends on the
/// engine where it began: an engine is ordered when its last stream is over.
#[test]
fn long_streams_are_not_moved_by_a_rollout() {
    let fleet = Fleet::start(&FleetSettings {
        program: env!("CARGO_BIN_EXE_mangowalkd").to_owned(),
        engines: 2,
        engine: EngineSettings {
            token_us: 40_000,
            ..EngineSettings::default()
        },
        ..FleetSettings::default()
    });
    eventually("the router serves", || {
        fleet.chat(0, "warm", 1, false).status == 200
    });
    thread::scope(|scope| {
        let fleet = &fleet;
        let streams: Vec<_> = (0..6)
            .map(|i| scope.spawn(move || fleet.chat(0, &format!("long {i}"), 150, true)))
            .collect();
        eventually("the streams run", || {
            fleet
                .engines
                .iter()
                .map(|e| e.state().load.running)
                .sum::<u32>()
                == 6
        });
        write_version(fleet, "v2");
        while !streams.iter().all(|s| s.is_finished()) {
            for state in fleet.engines.iter().map(|e| e.state()) {
                assert!(!state.loading || state.load.running == 0, "{state:?}");
            }
            thread::sleep(Duration::from_millis(20));
        }
        for (i, stream) in streams.into_iter().enumerate() {
            let answer = stream.join().expect("a caller");
            let expected = Fleet::expected(&format!("long {i}"), 150);
            assert_eq!(answer.streamed_text(), expected, "{}", answer.body);
            assert!(answer.is_done());
        }
    });
    let starts = fleet.engines.iter().flat_map(|e| e.prompts());
    let long: u64 = starts
        .filter(|(p, _)| p.contains("long"))
        .map(|(_, n)| n)
        .sum();
    assert_eq!(long, 6, "each stream was started once");
    eventually_all_serve(&fleet, "v2");
}
