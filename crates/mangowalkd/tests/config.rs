//! Which records routers use, tested with real processes.

use {
    mangowalk_standins::{
        Answer, EngineSettings, Fleet, FleetSettings, PlatformFaults, RouterProcess, eventually,
        free_address,
    },
    serde_json::json,
    std::{thread, time::Duration},
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_mangowalkd");

fn fleet(routers: usize, args: &[&str]) -> Fleet {
    Fleet::start(&FleetSettings {
        program: PROGRAM.to_owned(),
        routers,
        router_args: args.iter().map(|a| (*a).to_owned()).collect(),
        ..FleetSettings::default()
    })
}

/// Requests the list of models, which any valid key may read.
fn models(router: &RouterProcess) -> Answer {
    let bearer = format!("Bearer {}", Fleet::KEY);
    Answer::get(
        router.address(),
        "/v1/models",
        &[("Authorization", &bearer)],
    )
}

fn seeds(fleet: &Fleet) -> String {
    let peers: Vec<String> = fleet
        .routers
        .iter()
        .map(|r| r.peer_address().to_string())
        .collect();
    format!("--seed-peers={}", peers.join(","))
}

/// A key is withdrawn while one router's watch of the platform returns nothing.
/// The other routers get the change from the platform. This router must get it
/// from them and refuse the key.
#[test]
fn a_router_with_a_silent_watch_takes_records_from_peers() {
    let fleet = fleet(2, &[]);
    let silent = fleet.platform.silent_address();
    let router = RouterProcess::start(PROGRAM, silent, &[&seeds(&fleet)]);
    router.wait_ready();
    assert_eq!(models(&router).status, 200);
    fleet.platform.delete("key", "gallery-1");
    eventually("the silent router refuses the key", || {
        models(&router).status == 401
    });
}

/// A router restarts while the platform is down. It takes the records from a
/// peer, so that callers are served, and a key that was withdrawn before the
/// outage stays refused.
#[test]
fn a_router_that_restarts_in_an_outage_takes_records_from_a_peer() {
    let fleet = fleet(2, &[]);
    fleet.platform.put(
        "key",
        "gallery-2",
        json!({ "schema": 1, "team": "gallery", "digest": mangowalk_core::record::digest_of("old") }),
    );
    fleet.platform.delete("key", "gallery-2");
    let router = RouterProcess::start(PROGRAM, free_address(), &[&seeds(&fleet)]);
    router.wait_ready();
    assert_eq!(models(&router).status, 200);
    let chat = json!({ "model": "drafting", "prompt": "still there?", "max_tokens": 2 });
    let bearer = format!("Bearer {}", Fleet::KEY);
    let headers = [("Authorization", bearer.as_str())];
    eventually("it serves with tokens granted by its peers", || {
        let path = "/v1/completions";
        Answer::post(router.address(), path, &headers, &chat.to_string()).status == 200
    });
    let old = [("Authorization", "Bearer old")];
    assert_eq!(
        Answer::get(router.address(), "/v1/models", &old).status,
        401
    );
}

/// All routers and the platform were down, and a router restarts before the
/// platform, so that nobody holds a record. It must refuse requests as not run,
/// with a time to retry, because a guess would accept withdrawn keys.
#[test]
fn requests_are_refused_without_platform_and_peers() {
    let router = RouterProcess::start(PROGRAM, free_address(), &[]);
    eventually("the router listens", || models(&router).status != 0);
    let answer = models(&router);
    assert_eq!(answer.status, 503);
    assert_eq!(answer.header("x-mangowalk-outcome"), Some("not_run"));
    assert!(answer.header("retry-after").is_some());
    assert_eq!(Answer::get(router.address(), "/ready", &[]).status, 503);
}

/// A router with no peers loses the platform. It serves known keys only for a
/// bounded time, because it can't know which were withdrawn. Then it refuses
/// requests as not run, until the platform is available again.
#[test]
fn an_isolated_router_refuses_requests_after_the_stale_limit() {
    let fleet = fleet(1, &["--stale-config-ms=2000"]);
    let router = &fleet.routers[0];
    fleet.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    assert_eq!(models(router).status, 200, "known keys still work");
    eventually("the router refuses", || models(router).status == 503);
    let answer = models(router);
    assert_eq!(answer.header("x-mangowalk-outcome"), Some("not_run"));
    fleet.platform.set_faults(PlatformFaults::default());
    eventually("the router serves again", || models(router).status == 200);
}

/// The platform is down for longer than an isolated router may use its records,
/// but the routers reach each other. No key can be withdrawn meanwhile, so
/// callers must still be served.
#[test]
fn connected_peers_serve_through_a_platform_outage() {
    let fleet = fleet(3, &["--stale-config-ms=3000"]);
    eventually("the first router lists all three", || {
        let answer = Answer::get(fleet.routers[0].address(), "/v1/addresses", &[]);
        answer.json()["addresses"].as_array().map_or(0, Vec::len) == 3
    });
    fleet.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    for _ in 0..50 {
        thread::sleep(Duration::from_millis(100));
        for router in &fleet.routers {
            assert_eq!(models(router).status, 200);
        }
    }
}

/// A key is withdrawn while requests with it are queued for a busy engine with
/// one slot. The queued requests must be refused and never reach the engine. The
/// running stream must be served to its end.
#[test]
fn a_withdrawn_key_stops_queued_requests() {
    let fleet = Fleet::start(&FleetSettings {
        program: PROGRAM.to_owned(),
        engines: 1,
        engine: EngineSettings {
            slots: 1,
            token_us: 6_000,
            ..EngineSettings::default()
        },
        ..FleetSettings::default()
    });
    eventually("the router serves", || {
        fleet.chat(0, "warm", 1, false).status == 200
    });
    thread::scope(|scope| {
        let running = scope.spawn(|| fleet.chat(0, "running", 180, true));
        eventually("the first one runs", || {
            fleet.engines[0].state().load.running == 1
        });
        let queued: Vec<_> = (0..3)
            .map(|i| {
                scope.spawn({
                    let fleet = &fleet;
                    move || fleet.chat(0, &format!("queued {i}"), 5, false)
                })
            })
            .collect();
        thread::sleep(Duration::from_millis(200));
        fleet.platform.delete("key", "gallery-1");
        let running = running.join().expect("a caller");
        assert_eq!(running.streamed_text(), Fleet::expected("running", 180));
        for queued in queued {
            let answer = queued.join().expect("a caller");
            assert_eq!(answer.status, 401, "{}", answer.body);
        }
    });
    let prompts = fleet.engines[0].prompts();
    assert!(!prompts.keys().any(|p| p.contains("queued")), "{prompts:?}");
}

/// A record of an unknown schema is refused. The earlier version of this record
/// stays in force, and a record written later takes effect.
#[test]
fn a_bad_record_does_not_affect_other_records() {
    let fleet = fleet(1, &[]);
    let router = &fleet.routers[0];
    fleet
        .platform
        .put("team", "gallery", json!({ "schema": 7 }));
    fleet
        .platform
        .put("model", "other", json!({ "schema": 1, "version": "v1" }));
    eventually("the record written after the bad one is in force", || {
        models(router).body.contains("\"other\"")
    });
    assert_eq!(models(router).status, 200, "the team is still known");
}
