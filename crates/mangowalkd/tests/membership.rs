//! Who is named to callers, and who gets work.

use {
    mangowalk_core::{
        config::Digest,
        peer::{InstanceView, PeerReply, PeerRequest},
    },
    mangowalk_standins::{Answer, Fleet, FleetSettings, RouterProcess, eventually, free_address},
    mangowalkd::{
        controller::answer,
        edge::LiveEdges,
        shared_state::{DispatchSettings, Identity, SharedState},
    },
    serde_json::json,
    std::{collections::BTreeSet, net::SocketAddr},
};

fn fleet(routers: usize) -> Fleet {
    Fleet::start(&FleetSettings {
        program: env!("CARGO_BIN_EXE_mangowalkd").to_owned(),
        routers,
        ..FleetSettings::default()
    })
}

fn addresses(router: &RouterProcess) -> Vec<SocketAddr> {
    let answer = Answer::get(router.address(), "/v1/addresses", &[]);
    serde_json::from_value(answer.json()["addresses"].clone()).unwrap_or_default()
}

fn eventually_names(router: &RouterProcess, count: usize) {
    eventually("the instance names the right number", || {
        addresses(router).len() == count
    });
}

/// An instance is killed while the platform's list still shows it. Callers
/// are no longer told of it, because its peers got no answer.
#[test]
fn a_killed_instance_is_no_longer_named() {
    let mut fleet = fleet(3);
    eventually_names(&fleet.routers[0], 3);
    fleet.routers[2].kill();
    eventually_names(&fleet.routers[0], 2);
    eventually_names(&fleet.routers[1], 2);
    assert_eq!(fleet.platform.list("instance").len(), 3, "the list lags");
}

/// An instance is paused and goes on. It is not named meanwhile, and named
/// again once it contradicts the suspicion.
#[test]
fn a_frozen_instance_is_named_again_when_it_goes_on() {
    let fleet = fleet(3);
    eventually_names(&fleet.routers[0], 3);
    fleet.routers[2].pause();
    eventually_names(&fleet.routers[0], 2);
    fleet.routers[2].resume();
    eventually_names(&fleet.routers[0], 3);
    eventually_names(&fleet.routers[1], 3);
}

/// An instance restarts on its address. What is known of the one before it
/// must not keep callers away.
#[test]
fn a_restarted_instance_is_named_again() {
    let mut fleet = fleet(2);
    eventually_names(&fleet.routers[0], 2);
    fleet.routers[1].kill();
    eventually_names(&fleet.routers[0], 1);
    fleet.routers[1].restart();
    eventually_names(&fleet.routers[0], 2);
}

/// Callers who ask the same instance are not all sent to one.
#[test]
fn callers_are_spread_over_instances() {
    let fleet = fleet(3);
    eventually_names(&fleet.routers[0], 3);
    let first: BTreeSet<SocketAddr> = (0..40)
        .filter_map(|_| addresses(&fleet.routers[0]).first().copied())
        .collect();
    assert_eq!(first.len(), 3);
}

/// An operator marks an engine as departing. Requests go to the other one
/// alone a few seconds later, from every instance.
#[test]
fn a_departing_upstream_gets_no_new_work() {
    let fleet = fleet(2);
    let record = fleet.platform.get("upstream", "engine-0").expect("record");
    let mut body = record.body;
    body["departing"] = json!(true);
    fleet.platform.put("upstream", "engine-0", body);
    let started = |n: usize| -> u64 { fleet.engines[n].prompts().values().sum() };
    eventually("an answer of each instance leaves engine-0 out", || {
        let before = started(0);
        let served = (0..2).all(|router| {
            (0..4).all(|i| fleet.chat(router, &format!("q{i}"), 2, false).status == 200)
        });
        served && started(0) == before
    });
    let before = started(0);
    for i in 0..20 {
        let answer = fleet.chat(i % 2, &format!("order {i}"), 2, false);
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    assert_eq!(started(0), before);
}

/// An instance hears that it is suspected. Its answer must outrank the
/// suspicion, or those who only hear of it from others keep callers away.
#[test]
fn a_suspected_instance_contradicts() {
    let address = free_address();
    let identity = Identity {
        caller_address: address,
        peer_address: address,
        failure_domain: "a".to_owned(),
        incarnation: 7,
    };
    let board = SharedState::new(identity, DispatchSettings::default());
    let view = |port: u16, heartbeat, suspected| InstanceView {
        caller_address: SocketAddr::from(([127, 0, 0, 1], port)),
        peer_address: SocketAddr::from(([127, 0, 0, 1], port)),
        incarnation: 7,
        heartbeat,
        failure_domain: "a".to_owned(),
        ready: true,
        departing: false,
        suspected,
    };
    let request = PeerRequest::Exchange {
        from: view(1, 0, false),
        digest: Digest::default(),
        updates: vec![view(address.port(), 5, true)],
        crashes: Vec::new(),
    };
    let reply = answer(&LiveEdges::new(free_address()), &board, &request);
    let PeerReply::Exchange { from, .. } = reply else {
        panic!("no exchange: {reply:?}");
    };
    assert!(from.heartbeat > 5 && !from.suspected);
}
