use {super::Grant, std::net::SocketAddr};

/// Tokens of a team taken for one request. Unused tokens are refunded when it
/// is settled.
#[derive(Debug, Clone, PartialEq, Eq)]
#[must_use = "settle the reservation; otherwise its unused tokens are not refunded to the team"]
pub struct Reservation {
    /// Name of the team.
    pub team: String,
    /// Tokens taken from the local bucket and from peers.
    pub tokens: u64,
    /// Debits of the local bucket. The bucket keeps capacity for the refund of
    /// each.
    pub(super) debit_ids: Vec<u64>,
    /// Tokens granted by peers.
    pub(super) peer_grants: Vec<PeerGrant>,
}

/// Tokens that a peer granted, or that are refunded to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerGrant {
    /// Address on which the peer listens for other instances.
    pub peer: SocketAddr,
    /// ID of the grant, assigned by the peer.
    pub grant_id: u64,
    /// Number of tokens.
    pub tokens: u64,
}

impl Reservation {
    /// Returns a reservation of 0 tokens.
    pub fn empty(team: &str) -> Reservation {
        Reservation {
            team: team.to_owned(),
            tokens: 0,
            debit_ids: Vec::new(),
            peer_grants: Vec::new(),
        }
    }

    /// Adds tokens that a peer granted. An empty grant changes nothing.
    pub fn add_grant(&mut self, peer: SocketAddr, grant: &Grant) {
        if grant.tokens == 0 {
            return;
        }
        self.tokens += grant.tokens;
        self.peer_grants.push(PeerGrant {
            peer,
            grant_id: grant.id,
            tokens: grant.tokens,
        });
    }
}
