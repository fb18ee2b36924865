//! Which instances are listed to callers, and which engines get requests.

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

fn eventually_lists(router: &RouterProcess, count: usize) {
    eventually("the instance lists the expected number", || {
        addresses(router).len() == count
    });
}

/// An instance is killed while it is still in the platform's list. Its peers get
/// no answer from it and must stop listing it to callers.
#[test]
fn a_killed_instance_is_no_longer_listed() {
    let mut fleet = fleet(3);
    eventually_lists(&fleet.routers[0], 3);
    fleet.routers[2].kill();
    eventually_lists(&fleet.routers[0], 2);
    eventually_lists(&fleet.routers[1], 2);
    assert_eq!(
        fleet.platform.list("instance").len(),
        3,
        "the platform still lists it"
    );
}

/// An instance is frozen and resumes. It must not be listed while it is frozen,
/// and must be listed again after it has contradicted the suspicion.
#[test]
fn a_frozen_instance_is_listed_again_after_it_resumes() {
    let fleet = fleet(3);
    eventually_lists(&fleet.routers[0], 3);
    fleet.routers[2].pause();
    eventually_lists(&fleet.routers[0], 2);
    fleet.routers[2].resume();
    eventually_lists(&fleet.routers[0], 3);
    eventually_lists(&fleet.routers[1], 3);
}

/// An instance is killed and restarts on the same address. The state of the
/// earlier process must not keep it from being listed.
#[test]
fn a_restarted_instance_is_listed_again() {
    let mut fleet = fleet(2);
    eventually_lists(&fleet.routers[0], 2);
    fleet.routers[1].kill();
    eventually_lists(&fleet.routers[0], 1);
    fleet.routers[1].restart();
    eventually_lists(&fleet.routers[0], 2);
}

/// Callers that get the address list from one instance must not all be sent to
/// the same instance first.
#[test]
fn callers_are_spread_over_instances() {
    let fleet = fleet(3);
    eventually_lists(&fleet.routers[0], 3);
    let first: BTreeSet<SocketAddr> = (0..40)
        .filter_map(|_| addresses(&fleet.routers[0]).first().copied())
        .collect();
    assert_eq!(first.len(), 3);
}

/// An operator marks an engine as departing. Within a few seconds every instance
/// must send requests only to the other engine.
#[test]
fn a_departing_upstream_gets_no_new_work() {
    let fleet = fleet(2);
    let record = fleet.platform.get("upstream", "engine-0").expect("record");
    let mut body = record.body;
    body["departing"] = json!(true);
    fleet.platform.put("upstream", "engine-0", body);
    let started = |n: usize| -> u64 { fleet.engines[n].prompts().values().sum() };
    eventually("no instance sends requests to engine-0", || {
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

/// An instance receives an update that suspects it. Its answer must override the
/// suspicion, or instances that know it only from peer reports would not list it.
#[test]
fn a_suspected_instance_raises_its_heartbeat() {
    let address = free_address();
    let identity = Identity {
        caller_address: address,
        peer_address: address,
        failure_domain: "a".to_owned(),
        incarnation: 7,
    };
    let shared = SharedState::new(identity, DispatchSettings::default());
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
    let reply = answer(&LiveEdges::new(free_address()), &shared, &request);
    let PeerReply::Exchange { from, .. } = reply else {
        panic!("no exchange: {reply:?}");
    };
    assert!(from.heartbeat > 5 && !from.suspected);
}
