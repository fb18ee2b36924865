use {super::Grant, std::net::SocketAddr};

/// Tokens of a team that a request has taken and may put back in part.
#[derive(Debug, Clone, PartialEq, Eq)]
#[must_use = "settle it, or its unused tokens are lost to the team"]
pub struct Reservation {
    /// Team.
    pub team: String,
    /// Tokens taken, here and from peers.
    pub tokens: u64,
    /// Parts drawn here. Each has its own room in the bucket for what comes
    /// back.
    pub(super) debit_ids: Vec<u64>,
    /// Parts that peers granted.
    pub(super) peer_grants: Vec<PeerGrant>,
}

/// Tokens that a peer granted, or that go back to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerGrant {
    /// Address of the peer, towards peers.
    pub peer: SocketAddr,
    /// Number that the peer gave the grant.
    pub grant_id: u64,
    /// Tokens.
    pub tokens: u64,
}

impl Reservation {
    /// Returns a reservation that has taken nothing yet.
    pub fn empty(team: &str) -> Reservation {
        Reservation {
            team: team.to_owned(),
            tokens: 0,
            debit_ids: Vec::new(),
            peer_grants: Vec::new(),
        }
    }

    /// Adds what a peer granted.
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
