//! Graceful shutdown of an instance.

use {
    mangowalk_standins::{Answer, Fleet, FleetSettings, eventually},
    std::{net::SocketAddr, thread, time::Duration},
};

fn fleet() -> Fleet {
    Fleet::start(&FleetSettings {
        program: env!("CARGO_BIN_EXE_mangowalkd").to_owned(),
        routers: 2,
        router_args: vec!["--depart-grace-ms=5000".to_owned()],
        ..FleetSettings::default()
    })
}

fn addresses(fleet: &Fleet, router: usize) -> Vec<SocketAddr> {
    let answer = Answer::get(fleet.routers[router].address(), "/v1/addresses", &[]);
    serde_json::from_value(answer.json()["addresses"].clone()).unwrap_or_default()
}

/// An instance is terminated while streams are open. Every stream must complete.
/// Callers that still use its address must be served and get the address of the
/// other instance. The process must exit with success.
#[test]
fn a_shutdown_cuts_off_no_request() {
    let mut fleet = fleet();
    eventually("both instances are listed and serve", || {
        addresses(&fleet, 0).len() == 2 && fleet.chat(0, "warm", 2, false).status == 200
    });
    let (leaving, staying) = (fleet.routers[0].address(), fleet.routers[1].address());
    let expected = |i: usize| Fleet::expected(&format!("order {i}"), 150);
    thread::scope(|scope| {
        let fleet = &fleet;
        let streams: Vec<_> = (0..6)
            .map(|i| scope.spawn(move || fleet.chat(0, &format!("order {i}"), 150, true)))
            .collect();
        eventually("the streams run", || {
            let running = |e: &mangowalk_standins::EngineStandIn| e.state().load.running;
            fleet.engines.iter().map(running).sum::<u32>() == 6
        });
        fleet.routers[0].terminate();
        eventually("the departing instance lists only the other one", || {
            addresses(fleet, 0) == [staying]
        });
        eventually("the other instance no longer lists it", || {
            addresses(fleet, 1) == [staying]
        });
        let late = fleet.chat(0, "late", 5, false);
        assert_eq!(late.status, 200, "the departing instance still serves");
        for (i, stream) in streams.into_iter().enumerate() {
            let answer = stream.join().expect("a caller");
            assert_eq!(answer.streamed_text(), expected(i), "{}", answer.body);
            assert!(answer.is_done());
        }
        thread::sleep(Duration::from_secs(1));
        let later = fleet.chat(0, "later", 5, false);
        assert_eq!(
            later.status, 200,
            "it still serves after its streams have ended"
        );
    });
    let status = fleet.routers[0].wait().expect("a status");
    assert!(status.success(), "{status}");
    let listed = |a: SocketAddr| fleet.platform.get("instance", &a.to_string()).is_some();
    assert!(!listed(leaving) && listed(staying));
}
