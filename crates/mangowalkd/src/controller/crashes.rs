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

/// Time that a peer has to answer.
const ANSWER_TIMEOUT_MS: u64 = 250;

/// Times that a peer is told. One that misses the news runs the request once
/// more.
const MAX_TRIES: usize = 2;

/// Peers told at once. The rest hears of it in the usual exchanges.
const MAX_DIRECT_REPORTS: usize = 8;

/// Tells peers of crashes at once.
///
/// The caller of a request that crashes upstreams sends it again within a
/// second, to another instance. Left to the usual exchanges, that instance
/// would count the crashes from one again.
pub fn report_crashes<E: Edges>(edges: &E, shared: &SharedState) {
    let request = PeerRequest::Crashes {
        crashes: shared.poison.reports(edges.clock().now_ms()),
    };
    let mut peers: Vec<(bool, SocketAddr)> = shared.peers.read(|members| {
        let all = members.all().map(|m| &m.view);
        all.map(|v| (v.suspected, v.peer_address)).collect()
    });
    // One that is only suspected may well serve the next copy.
    peers.sort_unstable();
    peers.truncate(MAX_DIRECT_REPORTS);
    // All at once: one that is dead must not keep the news from the others.
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
    warn!("poison: {address} was not told of a crash and hears of it later.");
}

/// Takes what a peer tells, and answers with what is known here.
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
