use {
    crate::shared_state::SharedState,
    log::warn,
    mangowalk_core::{
        edge::{Clock, Edges, Peers},
        peer::{PeerReply, PeerRequest},
        poison::CrashReport,
    },
    std::{net::SocketAddr, thread},
};

/// Timeout of one request to a peer.
const ANSWER_TIMEOUT_MS: u64 = 250;

/// Maximum attempts to report to one peer. A peer without the report runs the
/// request once more.
const MAX_TRIES: usize = 2;

/// Maximum number of peers that get the report directly. The others receive it
/// in the periodic exchanges.
const MAX_DIRECT_REPORTS: usize = 8;

/// Reports crashes to peers immediately, and merges the crashes that they
/// report.
///
/// The caller of a request that crashes upstreams retries within a second, at
/// another instance. With the periodic exchanges alone, that instance would
/// count the crashes from one again.
pub fn report_crashes<E: Edges>(edges: &E, shared: &SharedState) {
    let request = PeerRequest::Crashes {
        crashes: shared.poison.reports(edges.clock().now_ms()),
    };
    let mut peers: Vec<(bool, SocketAddr)> = shared.peers.read(|members| {
        let all = members.all().map(|m| &m.view);
        all.map(|v| (v.suspected, v.peer_address)).collect()
    });
    // Suspected peers come last, but are included: they may serve the retry.
    peers.sort_unstable();
    peers.truncate(MAX_DIRECT_REPORTS);
    // Reports are sent concurrently, so that a dead peer doesn't delay the others.
    thread::scope(|scope| {
        for (_, address) in peers {
            let request = &request;
            scope.spawn(move || report_to(edges, shared, address, request));
        }
    });
}

fn report_to<E: Edges>(
    edges: &E,
    shared: &SharedState,
    address: SocketAddr,
    request: &PeerRequest,
) {
    for _ in 0..MAX_TRIES {
        let reply = edges.peers().ask(address, request, ANSWER_TIMEOUT_MS);
        if let Ok(PeerReply::Crashes { crashes }) = reply {
            shared.poison.merge(&crashes, edges.clock().now_ms());
            return;
        }
    }
    warn!("poison: {address} did not receive a crash report; it gets it in a later exchange.");
}

/// Merges a peer's crash reports, and returns all reports of this instance.
pub(super) fn receive_crashes(
    shared: &SharedState,
    crashes: &[CrashReport],
    now_ms: u64,
) -> PeerReply {
    shared.poison.merge(crashes, now_ms);
    PeerReply::Crashes {
        crashes: shared.poison.reports(now_ms),
    }
}
