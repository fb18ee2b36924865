use {
    crate::board::Board,
    log::warn,
    mangowalk_core::{
        edge::{Clock, Edges, Peers},
        peer::{PeerReply, PeerRequest},
        poison::CrashSight,
    },
};

/// Time that a peer has to answer.
const ANSWER_TIMEOUT_MS: u64 = 400;

/// Peers told at once. The rest hears of it in the usual exchanges.
const MOST_TOLD: usize = 8;

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
    for peer in board.peers.sights().iter().take(MOST_TOLD) {
        let address = peer.view.peer_address;
        let reply = edges.peers().ask(address, &request, ANSWER_TIMEOUT_MS);
        match reply {
            Ok(PeerReply::Crashes { crashes }) => {
                board.poison.merge(&crashes, edges.clock().now_ms());
            }
            _ => warn!("poison: {address} was not told of a crash and hears of it later."),
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
