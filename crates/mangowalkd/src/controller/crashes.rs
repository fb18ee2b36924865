use {
    crate::board::Board,
    mangowalk_core::{
        edge::{Clock, Edges, Peers},
        peer::{PeerReply, PeerRequest},
        poison::CrashSight,
    },
};

/// Time that a peer has to answer.
const ANSWER_TIMEOUT_MS: u64 = 100;

/// Peers told at once. The rest hears of it in the usual exchanges.
const MOST_TOLD: usize = 8;

/// Time since the last heartbeat after which a peer is not told.
const SILENT_MS: u64 = 5_000;

/// Tells peers of crashes at once.
///
/// The caller of a request that crashes upstreams sends it again within a
/// second, to another instance. Left to the usual exchanges, that instance
/// would count the crashes from one again.
pub fn tell_crashes<E: Edges>(edges: &E, board: &Board) {
    let now_ms = edges.clock().now_ms();
    let request = PeerRequest::Crashes {
        crashes: board.poison.sights(now_ms),
    };
    let sights = board.peers.sights();
    let live = sights
        .iter()
        .filter(|s| now_ms.saturating_sub(s.heard_ms) < SILENT_MS);
    for peer in live.take(MOST_TOLD) {
        let address = peer.view.peer_address;
        let reply = edges.peers().ask(address, &request, ANSWER_TIMEOUT_MS);
        if let Ok(PeerReply::Crashes { crashes }) = reply {
            board.poison.merge(&crashes, edges.clock().now_ms());
        }
    }
}

/// Takes what a peer tells, and answers with what is known here.
pub(super) fn hear_crashes(board: &Board, crashes: &[CrashSight], now_ms: u64) -> PeerReply {
    board.poison.merge(crashes, now_ms);
    PeerReply::Crashes {
        crashes: board.poison.sights(now_ms),
    }
}
