use {
    super::{Bucket, Grant, PeerGrant, Reservation, SLOTS, SLOTS_PER_TEAM, team_slots},
    crate::record::Rate,
    std::collections::{BTreeMap, HashMap},
};

/// A team's bucket, and the slots that refill it.
#[derive(Debug, Clone)]
struct Team {
    slots: [u32; SLOTS_PER_TEAM],
    bucket: Bucket,
}

/// The tokens that one instance may spend: the leases of the slots that it
/// holds, and a bucket for each team.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    lease_ends_ms: BTreeMap<u32, u64>,
    teams: HashMap<String, Team>,
    is_closed: bool,
    next_debit_id: u64,
}

impl Ledger {
    /// Returns an empty ledger whose debit IDs count up from `debit_id`.
    ///
    /// The caller draws `debit_id` at random, so that a debit of an earlier
    /// process on the same address is not mistaken for one of this process.
    pub fn with_debit_ids_after(debit_id: u64) -> Ledger {
        Ledger {
            next_debit_id: debit_id,
            ..Ledger::default()
        }
    }

    /// Records that a slot is held until `lease_end_ms`. All buckets are refilled
    /// first, so that the slot refills nothing for the time before `now_ms`.
    pub fn hold(&mut self, slot: u32, lease_end_ms: u64, now_ms: u64) {
        if self.is_closed {
            return;
        }
        self.refill_all(now_ms);
        let end_ms = self.lease_ends_ms.entry(slot).or_default();
        *end_ms = lease_end_ms.max(*end_ms);
    }

    /// Records that a slot is no longer held. Must be called before the release
    /// is sent, because the next holder may refill from the time of that write
    /// on.
    pub fn release(&mut self, slot: u32, now_ms: u64) {
        self.refill_all(now_ms);
        self.lease_ends_ms.remove(&slot);
        self.refill_all(now_ms);
    }

    /// Discards all leases and tokens permanently. A process that ends closes its
    /// ledger before its listener, because a new process on the same address
    /// takes the slots over at once.
    pub fn close(&mut self) {
        self.is_closed = true;
        self.lease_ends_ms.clear();
        self.teams.clear();
    }

    /// Returns whether [`Ledger::close`] was called.
    pub fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// Returns how many slots are held under a valid lease at `now_ms`.
    pub fn slots(&self, now_ms: u64) -> u32 {
        let held = self.lease_ends_ms.values().filter(|end| **end > now_ms);
        u32::try_from(held.count()).unwrap_or(SLOTS)
    }

    /// Takes a team's tokens, all or none; returns `None` if there are too few.
    ///
    /// The caller reads `now_ms` immediately before the call, so that a process
    /// that was paused beyond the end of its lease no longer spends that share.
    pub fn take(
        &mut self,
        team: &str,
        rate: &Rate,
        tokens: u64,
        now_ms: u64,
    ) -> Option<Reservation> {
        let debit_id = self.next_id();
        let taken = self.bucket(team, rate, now_ms).take(tokens, debit_id);
        taken.then(|| Reservation {
            team: team.to_owned(),
            tokens,
            debit_ids: vec![debit_id],
            peer_grants: Vec::new(),
        })
    }

    /// Adds up to `tokens` from the local bucket to a reservation. The caller
    /// requests the rest from peers.
    pub fn take_up_to(
        &mut self,
        reservation: &mut Reservation,
        rate: &Rate,
        tokens: u64,
        now_ms: u64,
    ) {
        let debit_id = self.next_id();
        let bucket = self.bucket(&reservation.team, rate, now_ms);
        let taken = bucket.take_up_to(tokens, debit_id);
        reservation.tokens += taken;
        reservation.debit_ids.push(debit_id);
    }

    /// Takes a team's tokens for a peer, all or none. Capacity is kept here for
    /// what the peer refunds.
    pub fn grant(&mut self, team: &str, rate: &Rate, tokens: u64, now_ms: u64) -> Grant {
        let debit_id = self.next_id();
        let bucket = self.bucket(team, rate, now_ms);
        let granted = if bucket.take(tokens, debit_id) {
            tokens
        } else {
            0
        };
        Grant {
            tokens: granted,
            left_tokens: bucket.tokens(),
            id: debit_id,
        }
    }

    /// Applies a peer's refund of unused tokens. The first refund ends the debit,
    /// so a duplicate message adds nothing.
    pub fn apply_refund(&mut self, team: &str, debit_id: u64, tokens: u64) {
        if let Some(team) = self.teams.get_mut(team) {
            team.bucket.refund(tokens, debit_id);
        }
    }

    /// Returns the tokens in this instance's bucket of a team.
    pub fn tokens(&mut self, team: &str, rate: &Rate, now_ms: u64) -> u64 {
        self.bucket(team, rate, now_ms).tokens()
    }

    /// Ends a reservation: refunds what it did not use, or charges what it used
    /// beyond it. Returns the refunds to send to peers.
    ///
    /// A lease that expired in the meantime takes effect at the next take, which
    /// first limits the bucket to its capacity.
    pub fn settle(&mut self, reservation: &Reservation, used_tokens: u64) -> Vec<PeerGrant> {
        let mut unused = reservation.tokens.saturating_sub(used_tokens);
        let mut peer_refunds = Vec::new();
        for grant in &reservation.peer_grants {
            let tokens = unused.min(grant.tokens);
            unused -= tokens;
            peer_refunds.push(PeerGrant { tokens, ..*grant });
        }
        if let Some(team) = self.teams.get_mut(&reservation.team) {
            let bucket = &mut team.bucket;
            bucket.charge(used_tokens.saturating_sub(reservation.tokens));
            for debit_id in &reservation.debit_ids {
                unused = bucket.refund(unused, *debit_id);
            }
        }
        peer_refunds.retain(|grant| grant.tokens > 0);
        peer_refunds
    }

    /// Removes the teams for which `keep` returns false, as when their rates are
    /// withdrawn.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.teams.retain(|team, _| keep(team));
    }

    fn next_id(&mut self) -> u64 {
        self.next_debit_id = self.next_debit_id.wrapping_add(1);
        self.next_debit_id
    }

    fn bucket(&mut self, team: &str, rate: &Rate, now_ms: u64) -> &mut Bucket {
        let ends_ms = &self.lease_ends_ms;
        let team = self
            .teams
            .entry(team.to_owned())
            .or_insert_with_key(|name| Team::new(name, rate, now_ms));
        if team.bucket.rate() != rate {
            let lower = min_rate(team.bucket.rate(), rate);
            team.bucket.set_rate(&lower);
            team.refill(ends_ms, now_ms);
            team.bucket.set_rate(rate);
        }
        team.refill(ends_ms, now_ms);
        &mut team.bucket
    }

    fn refill_all(&mut self, now_ms: u64) {
        for team in self.teams.values_mut() {
            team.refill(&self.lease_ends_ms, now_ms);
        }
    }
}

impl Team {
    fn new(name: &str, rate: &Rate, now_ms: u64) -> Team {
        Team {
            slots: team_slots(name),
            bucket: Bucket::empty(rate, now_ms),
        }
    }

    fn refill(&mut self, lease_ends_ms: &BTreeMap<u32, u64>, now_ms: u64) {
        let ends_ms = self.slots.iter().filter_map(|slot| lease_ends_ms.get(slot));
        self.bucket.refill(ends_ms.copied(), now_ms);
    }
}

fn min_rate(held: &Rate, new: &Rate) -> Rate {
    Rate {
        schema: new.schema,
        tokens_per_s: held.tokens_per_s.min(new.tokens_per_s),
        burst_tokens: held.burst_tokens.min(new.burst_tokens),
    }
}
