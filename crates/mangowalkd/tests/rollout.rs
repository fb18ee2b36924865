//! Rollouts of weights versions, tested with real processes.

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

/// Returns the index of the router that holds the lease.
fn holder(fleet: &Fleet) -> Option<usize> {
    let lease = fleet.platform.get("lease", &format!("rollout.{MODEL}"))?;
    let holder = lease.body["holder"].as_str()?.to_owned();
    let is_holder = |r: &mangowalk_standins::RouterProcess| r.address().to_string() == holder;
    fleet.routers.iter().position(is_holder)
}

fn eventually_holder(fleet: &Fleet) -> usize {
    let mut found = None;
    eventually("a lease holder drains an engine", || {
        found = holder(fleet);
        found.is_some() && !fleet.platform.list("drain").is_empty()
    });
    found.unwrap_or_default()
}

/// Asserts that the fencing numbers of the orders that an engine followed never
/// decrease.
fn assert_no_stale_order(fleet: &Fleet) {
    for engine in &fleet.engines {
        let numbers: Vec<u64> = engine.orders().iter().map(|o| o.fencing).collect();
        assert!(numbers.is_sorted(), "{numbers:?}");
    }
}

/// The version changes while callers send requests. Every request must be
/// answered in full, by the old or the new version: an engine is drained before
/// it loads, and undrained after it has answered a probe.
#[test]
fn a_rollout_interrupts_no_request() {
    let fleet = fleet(2, true);
    change_version_under_traffic(&fleet, 4);
}

/// The same with engines that serve one request at a time, so that requests are
/// queued. Some wait for the old version when its last engine is drained. They
/// must be answered by the new version.
#[test]
fn a_rollout_interrupts_no_queued_request() {
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
    let finished = AtomicBool::new(false);
    thread::scope(|scope| {
        for caller in 0..callers {
            let finished = &finished;
            scope.spawn(move || {
                let mut turn = 0;
                while !finished.load(Ordering::SeqCst) {
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
        finished.store(true, Ordering::SeqCst);
    });
    let plan = fleet.platform.get("rollout", MODEL).expect("a plan").body;
    assert!(plan["failure"].is_null(), "{plan}");
}

/// The weights of a version can't be loaded. The rollout must stop at the first
/// engine and record the reason, and every engine must serve the old version.
#[test]
fn a_version_that_does_not_load_stops_the_rollout() {
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

/// After a complete rollout, the next version loads but doesn't answer. The probe
/// must fail before a caller's request does, and the engine must be rolled back
/// to the version of the complete rollout, not to the one before it. When the
/// operators write that version again, the failure must be cleared.
#[test]
fn a_version_that_does_not_answer_is_rolled_back() {
    let fleet = fleet(2, true);
    write_version(&fleet, "v2");
    eventually("the first rollout is recorded as done", || {
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
    assert_eq!(
        orders() - before,
        2,
        "one engine was changed and rolled back"
    );
    write_version(&fleet, "v2");
    eventually("the failure is cleared", || {
        plan(&fleet)["failure"].is_null() && plan(&fleet)["target"] == json!("v2")
    });
    assert_eq!(orders() - before, 2);
}

/// The lease holder is killed while an engine is drained. Another instance must
/// take the lease after it expires, find the drain mark and complete the rollout.
#[test]
fn a_rollout_continues_after_its_lease_holder_dies() {
    let mut fleet = fleet(3, true);
    write_version(&fleet, "v2");
    let holder = eventually_holder(&fleet);
    fleet.routers[holder].kill();
    eventually_all_serve(&fleet, "v2");
    assert_no_stale_order(&fleet);
}

/// The lease holder is frozen, the operators write the next version, and another
/// holder rolls it out. The first one resumes with the state of the old version.
/// Its lease has expired by its own clock, so it must send no order. The engines
/// ignore fencing numbers and would follow one.
#[test]
fn a_resumed_lease_holder_sends_no_stale_order() {
    let fleet = fleet(3, false);
    write_version(&fleet, "v2");
    let holder = eventually_holder(&fleet);
    fleet.routers[holder].pause();
    write_version(&fleet, "v3");
    eventually_all_serve(&fleet, "v3");
    fleet.routers[holder].resume();
    eventually("the resumed router serves requests", || {
        fleet.chat(holder, "awake", 2, false).status == 200
    });
    thread::sleep(Duration::from_secs(3));
    assert_no_stale_order(&fleet);
    eventually_all_serve(&fleet, "v3");
}

/// An engine restarts after the rollout with its initial weights. It must be
/// ordered again to load the current version.
#[test]
fn an_engine_that_restarts_is_ordered_again() {
    let fleet = fleet(1, true);
    write_version(&fleet, "v2");
    eventually_all_serve(&fleet, "v2");
    fleet.engines[1].crash();
    fleet.engines[1].restart();
    eventually("the engine has restarted with old weights", || {
        fleet.engines[1].state().version == "v1"
    });
    eventually_all_serve(&fleet, "v2");
}

/// A lease holder died after an engine had loaded and before it was undrained.
/// The leftover drain mark must be removed, or the engine would stay idle
/// forever.
#[test]
fn a_leftover_drain_mark_is_removed() {
    let fleet = fleet(2, true);
    let mark = json!({ "schema": 1, "model": MODEL });
    fleet.platform.put("drain", "engine-0", mark);
    eventually_all_serve(&fleet, "v1");
    assert!(fleet.engines.iter().all(|e| e.orders().is_empty()));
}

/// An engine gets a drain mark of another holder. Shortly after, no instance may
/// send it new requests, and callers must still be served.
#[test]
fn a_drained_engine_gets_no_new_work() {
    let fleet = fleet(2, true);
    let mark = json!({ "schema": 1, "model": "of-another-holder" });
    fleet.platform.put("drain", "engine-0", mark);
    let started = || -> u64 { fleet.engines[0].prompts().values().sum() };
    let all_served = |turn: &str| {
        (0..16).all(|i| fleet.chat(i % 2, &format!("{turn} {i}"), 2, false).status == 200)
    };
    eventually("no requests are sent to engine-0", || {
        let before = started();
        all_served("until") && started() == before
    });
    let before = started();
    assert!(all_served("after"));
    assert_eq!(started(), before);
}

/// Streams of several seconds run while the version changes. Each must end at the
/// engine where it started: an engine is ordered only after its last stream has
/// ended.
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
