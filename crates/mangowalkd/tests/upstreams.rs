//! Requests to failing engines, observed by what engines and callers receive.

use {
    mangowalk_standins::{EngineFaults, EngineSettings, Fleet, FleetSettings},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

const REQUESTS: u64 = 30;

fn fleet(engines: usize) -> Fleet {
    let fleet = Fleet::start(&FleetSettings {
        program: env!("CARGO_BIN_EXE_mangowalkd").to_owned(),
        engines,
        ..FleetSettings::default()
    });
    fleet.wait_until_served();
    fleet
}

/// The only engine refuses everything. After three attempts the circuit breaker
/// opens, and the router sends only one probe after each pause. Without the
/// breaker, the engine would get every request and callers would wait for it.
#[test]
fn the_breaker_limits_attempts_at_a_failing_engine() {
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

/// Guards against attempts at an engine that has asked for rest, as the breaker still allows
/// some and the only other engine is busy or gone.
#[test]
fn an_engine_that_asks_for_rest_gets_no_attempts_until_its_end() {
    let fleet = fleet(1);
    let engine = &fleet.engines[0];
    engine.set_faults(EngineFaults {
        refuse_status: Some(503),
        retry_after: Some("3".to_owned()),
        ..EngineFaults::default()
    });
    let before = engine.attempts();
    let began = Instant::now();
    thread::scope(|scope| {
        for caller in 0..3 {
            let fleet = &fleet;
            scope.spawn(move || {
                while began.elapsed() < Duration::from_millis(2_500) {
                    fleet.chat(0, &format!("order of {caller}"), 5, false);
                    thread::sleep(Duration::from_millis(20));
                }
            });
        }
        // The first one asks for the rest; two others may be on their way.
        thread::sleep(Duration::from_millis(2_700));
        let attempts = engine.attempts() - before;
        assert!((1..=3).contains(&attempts), "{attempts} attempts");
    });
    engine.set_faults(EngineFaults::default());
    fleet.wait_until_served();
}

/// One of two engines stalls while it runs streams: it sends no token and no
/// error. Requests sent there before that is detected move to the other engine
/// within seconds, and later ones are not sent there. Otherwise each would wait
/// for the first-token timeout, which here is longer than any caller waits.
#[test]
fn requests_move_away_from_a_stalled_engine() {
    let fleet = Fleet::start(&FleetSettings {
        program: env!("CARGO_BIN_EXE_mangowalkd").to_owned(),
        engine: EngineSettings {
            token_us: 50_000,
            ..EngineSettings::default()
        },
        router_args: vec![
            "--request-timeout-ms=300000".to_owned(),
            "--first-token-timeout-ms=200000".to_owned(),
            "--token-timeout-ms=100000".to_owned(),
            "--drain-timeout-ms=400000".to_owned(),
        ],
        ..FleetSettings::default()
    });
    fleet.wait_until_served();
    let running = |engine: usize| fleet.engines[engine].state().load.running;
    thread::scope(|scope| {
        let mut streams = 0;
        while running(0) == 0 || running(1) == 0 {
            scope.spawn({
                let fleet = &fleet;
                move || fleet.chat(0, &format!("long {streams}"), 100, true)
            });
            streams += 1;
            thread::sleep(Duration::from_millis(100));
        }
        let before = fleet.engines[0].attempts();
        fleet.engines[0].set_faults(EngineFaults {
            stall: true,
            ..EngineFaults::default()
        });
        let sent: Vec<_> = (0..8)
            .map(|i| {
                (
                    i,
                    scope.spawn({
                        let fleet = &fleet;
                        move || fleet.chat(0, &format!("short {i}"), 2, false)
                    }),
                )
            })
            .collect();
        for (i, sent) in sent {
            let answer = sent.join().expect("the caller finishes");
            assert_eq!(answer.text(), Fleet::expected(&format!("short {i}"), 2));
        }
        assert!(fleet.engines[0].attempts() > before);
        fleet.engines[0].set_faults(EngineFaults::default());
    });
}

/// One of two engines is dead. The other one serves all requests, and none
/// fails.
#[test]
fn a_dead_engine_fails_no_request() {
    let fleet = fleet(2);
    fleet.engines[0].crash();
    for i in 0..REQUESTS {
        let answer = fleet.chat(0, &format!("order {i}"), 5, false);
        assert_eq!(answer.text(), Fleet::expected(&format!("order {i}"), 5));
    }
}
