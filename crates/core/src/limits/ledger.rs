use {
    super::{Bucket, Reservation, SLOTS},
    crate::record::Rate,
    std::collections::{BTreeMap, HashMap},
};

/// Everything that one instance may spend: the slots that it holds, and a
/// bucket for each team.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    lease_ends_ms: BTreeMap<u32, u64>,
    buckets: HashMap<String, Bucket>,
    closed: bool,
    next_part: u64,
}

impl Ledger {
    /// Notes that a slot is held until a time. What was minted before is
    /// settled first, so that the slot mints nothing for the time before.
    pub fn hold(&mut self, slot: u32, lease_end_ms: u64, now_ms: u64) {
        if self.closed {
            return;
        }
        self.mint_all(now_ms);
        let end_ms = self.lease_ends_ms.entry(slot).or_default();
        *end_ms = lease_end_ms.max(*end_ms);
    }

    /// Notes that a slot is no longer held. It is called before the release
    /// is sent: its next holder may mint from the moment of the write on.
    pub fn release(&mut self, slot: u32, now_ms: u64) {
        self.mint_all(now_ms);
        self.lease_ends_ms.remove(&slot);
        self.mint_all(now_ms);
    }

    /// Gives everything up for good. A process that ends closes its ledger
    /// before it closes its listener, since a successor on its address takes
    /// its slots over at once.
    pub fn close(&mut self) {
        self.closed = true;
        self.lease_ends_ms.clear();
        self.buckets.clear();
    }

    /// Returns whether everything was given up.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Returns how many slots are held at a time.
    pub fn slots(&self, now_ms: u64) -> u32 {
        let held = self.lease_ends_ms.values().filter(|end| **end > now_ms);
        u32::try_from(held.count()).unwrap_or(SLOTS)
    }

    /// Takes tokens of a team, all or none. The leases are checked against
    /// `now_ms`, which the caller reads right before: a process that was
    /// paused past its lease finds its share gone.
    pub fn take(
        &mut self,
        team: &str,
        rate: &Rate,
        tokens: u64,
        now_ms: u64,
    ) -> Option<Reservation> {
        let part = self.part();
        let taken = self.bucket(team, rate, now_ms).take(tokens, part);
        taken.then(|| Reservation {
            team: team.to_owned(),
            tokens,
            parts: vec![part],
        })
    }

    /// Adds up to so many tokens to a reservation, and keeps room for the
    /// rest, which peers may send.
    pub fn draw(&mut self, reservation: &mut Reservation, rate: &Rate, tokens: u64, now_ms: u64) {
        let part = self.part();
        let slots = u64::from(self.slots(now_ms));
        let bucket = self.bucket(&reservation.team, rate, now_ms);
        let drawn = bucket.draw(tokens, part);
        bucket.expect(tokens - drawn, slots, part);
        reservation.tokens += drawn;
        reservation.parts.push(part);
    }

    /// Takes up to so many tokens of a team out, for a peer that asks.
    pub fn give(&mut self, team: &str, rate: &Rate, tokens: u64, now_ms: u64) -> u64 {
        self.bucket(team, rate, now_ms).give(tokens)
    }

    /// Returns the tokens of a team that are here.
    pub fn tokens(&mut self, team: &str, rate: &Rate, now_ms: u64) -> u64 {
        self.bucket(team, rate, now_ms).tokens()
    }

    /// Ends a reservation, and puts back what it did not use or charges what
    /// it used beyond. A lease that
    /// ended meanwhile is noticed at the next take, which cuts the bucket to
    /// its capacity first.
    pub fn settle(&mut self, reservation: &Reservation, used_tokens: u64) {
        let Some(bucket) = self.buckets.get_mut(&reservation.team) else {
            return;
        };
        bucket.charge(used_tokens.saturating_sub(reservation.tokens));
        let mut unused = reservation.tokens.saturating_sub(used_tokens);
        for part in &reservation.parts {
            unused = bucket.put_back(unused, *part);
        }
    }

    /// Forgets teams whose rates are withdrawn.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.buckets.retain(|team, _| keep(team));
    }

    fn part(&mut self) -> u64 {
        self.next_part += 1;
        self.next_part
    }

    fn bucket(&mut self, team: &str, rate: &Rate, now_ms: u64) -> &mut Bucket {
        let ends_ms = self.lease_ends_ms.values().copied();
        let bucket = self
            .buckets
            .entry(team.to_owned())
            .or_insert_with(|| Bucket::empty(rate, now_ms));
        if bucket.rate() != rate {
            let lower = lower_of(bucket.rate(), rate);
            bucket.change_rate(&lower);
            bucket.mint(ends_ms.clone(), now_ms);
            bucket.change_rate(rate);
        }
        bucket.mint(ends_ms, now_ms);
        bucket
    }

    fn mint_all(&mut self, now_ms: u64) {
        for bucket in self.buckets.values_mut() {
            bucket.mint(self.lease_ends_ms.values().copied(), now_ms);
        }
    }
}

fn lower_of(held: &Rate, new: &Rate) -> Rate {
    Rate {
        schema: new.schema,
        tokens_per_s: held.tokens_per_s.min(new.tokens_per_s),
        burst_tokens: held.burst_tokens.min(new.burst_tokens),
    }
}
