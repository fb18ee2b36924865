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

/// Body of the response to `GET /v1/addresses`.
#[derive(Debug, Serialize)]
struct Addresses {
    /// Addresses of instances, in the order in which a caller should try them.
    addresses: Vec<SocketAddr>,
    /// Time for which the caller may cache the response, in milliseconds.
    keep_ms: u64,
}

/// Returns the JSON body with the instances that a caller may use, this one
/// included.
pub(super) fn body<E: Edges>(router: &Router<E>) -> Vec<u8> {
    let shared = router.shared();
    let id = &shared.identity;
    let mut instances: Vec<InstanceView> = shared
        .peers
        .read(|m| m.all().map(|m| m.view.clone()).collect());
    instances.push(InstanceView {
        caller_address: id.caller_address,
        peer_address: id.peer_address,
        incarnation: id.incarnation,
        heartbeat: 0,
        failure_domain: id.failure_domain.clone(),
        ready: shared.lifecycle.is_ready(),
        departing: shared.lifecycle.is_departing(),
        suspected: false,
    });
    let body = Addresses {
        addresses: addresses_for_caller(&instances, &id.failure_domain, rand::random()),
        keep_ms: answer_ttl_ms(&AnswerTtlSettings::default(), &instances),
    };
    serde_json::to_vec(&body).unwrap_or_default()
}
