use {
    crate::serve::Router,
    mangowalk_core::{
        edge::Edges,
        membership::{AnswerTtlSettings, addresses_for_caller, answer_ttl_ms},
        peer::InstanceView,
    },
    serde::Serialize,
    std::net::SocketAddr,
};

#[derive(Debug, Serialize)]
struct Addresses {
    addresses: Vec<SocketAddr>,
    keep_ms: u64,
}

/// Returns the instances that a caller may use, in the order in which it
/// should try them.
pub(super) fn body<E: Edges>(router: &Router<E>) -> Vec<u8> {
    let board = router.shared();
    let id = &board.identity;
    let mut instances: Vec<InstanceView> = board
        .peers
        .read(|m| m.all().map(|m| m.view.clone()).collect());
    instances.push(InstanceView {
        caller_address: id.caller_address,
        peer_address: id.peer_address,
        incarnation: id.incarnation,
        heartbeat: 0,
        failure_domain: id.failure_domain.clone(),
        ready: board.lifecycle.is_ready(),
        departing: board.lifecycle.is_departing(),
        suspected: false,
    });
    let body = Addresses {
        addresses: addresses_for_caller(&instances, &id.failure_domain, rand::random()),
        keep_ms: answer_ttl_ms(&AnswerTtlSettings::default(), &instances),
    };
    serde_json::to_vec(&body).unwrap_or_default()
}
