use {
    super::{Bucket, Grant, HOMES, Moved, Reservation, SLOTS, homes_of},
    crate::record::Rate,
    std::collections::{BTreeMap, HashMap},
};

/// A team's tokens, and the slots that mint them.
#[derive(Debug, Clone)]
struct Team {
    homes: [u32; HOMES],
    bucket: Bucket,
}

/// Everything that one instance may spend: the slots that it holds, and a
/// bucket for each team.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    lease_ends_ms: BTreeMap<u32, u64>,
    teams: HashMap<String, Team>,
    closed: bool,
    next_part: u64,
}

impl Ledger {
    /// Returns an empty ledger that numbers its parts from the given number
    /// on. It is drawn at random: a part of a predecessor on the same address
    /// must not be taken for one of this process.
    pub fn numbered_from(part: u64) -> Ledger {
        Ledger {
            next_part: part,
            ..Ledger::default()
        }
    }

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
        self.teams.clear();
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
            moved: Vec::new(),
        })
    }

    /// Adds up to so many tokens to a reservation, which asks peers for the
    /// rest.
    pub fn draw(&mut self, reservation: &mut Reservation, rate: &Rate, tokens: u64, now_ms: u64) {
        let part = self.part();
        let bucket = self.bucket(&reservation.team, rate, now_ms);
        let drawn = bucket.draw(tokens, part);
        reservation.tokens += drawn;
        reservation.parts.push(part);
    }

    /// Takes tokens of a team out for a peer that asks, all or none. Room is
    /// kept here for what the peer sends back.
    pub fn grant(&mut self, team: &str, rate: &Rate, tokens: u64, now_ms: u64) -> Grant {
        let part = self.part();
        let bucket = self.bucket(team, rate, now_ms);
        let granted = if bucket.take(tokens, part) { tokens } else { 0 };
        Grant {
            tokens: granted,
            left_tokens: bucket.tokens(),
            part,
        }
    }

    /// Takes unused tokens of a grant back. A part ends with the first time
    /// that it is put back, so a message that comes twice adds nothing.
    pub fn take_back(&mut self, team: &str, part: u64, tokens: u64) {
        if let Some(team) = self.teams.get_mut(team) {
            team.bucket.put_back(tokens, part);
        }
    }

    /// Returns the tokens of a team that are here.
    pub fn tokens(&mut self, team: &str, rate: &Rate, now_ms: u64) -> u64 {
        self.bucket(team, rate, now_ms).tokens()
    }

    /// Ends a reservation: puts back what it did not use, or charges what it
    /// used beyond, and returns what is to go back to peers.
    ///
    /// A lease that ended meanwhile is noticed at the next take, which cuts
    /// the bucket to its capacity first.
    pub fn settle(&mut self, reservation: &Reservation, used_tokens: u64) -> Vec<Moved> {
        let mut unused = reservation.tokens.saturating_sub(used_tokens);
        let mut back = Vec::new();
        for moved in &reservation.moved {
            let tokens = unused.min(moved.tokens);
            unused -= tokens;
            back.push(Moved { tokens, ..*moved });
        }
        if let Some(team) = self.teams.get_mut(&reservation.team) {
            let bucket = &mut team.bucket;
            bucket.charge(used_tokens.saturating_sub(reservation.tokens));
            for part in &reservation.parts {
                unused = bucket.put_back(unused, *part);
            }
        }
        back.retain(|moved| moved.tokens > 0);
        back
    }

    /// Forgets teams whose rates are withdrawn.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.teams.retain(|team, _| keep(team));
    }

    fn part(&mut self) -> u64 {
        self.next_part = self.next_part.wrapping_add(1);
        self.next_part
    }

    fn bucket(&mut self, team: &str, rate: &Rate, now_ms: u64) -> &mut Bucket {
        let ends_ms = &self.lease_ends_ms;
        let team = self
            .teams
            .entry(team.to_owned())
            .or_insert_with_key(|name| Team::new(name, rate, now_ms));
        if team.bucket.rate() != rate {
            let lower = lower_of(team.bucket.rate(), rate);
            team.bucket.change_rate(&lower);
            team.mint(ends_ms, now_ms);
            team.bucket.change_rate(rate);
        }
        team.mint(ends_ms, now_ms);
        &mut team.bucket
    }

    fn mint_all(&mut self, now_ms: u64) {
        for team in self.teams.values_mut() {
            team.mint(&self.lease_ends_ms, now_ms);
        }
    }
}

impl Team {
    fn new(name: &str, rate: &Rate, now_ms: u64) -> Team {
        Team {
            homes: homes_of(name),
            bucket: Bucket::empty(rate, now_ms),
        }
    }

    fn mint(&mut self, lease_ends_ms: &BTreeMap<u32, u64>, now_ms: u64) {
        let ends_ms = self.homes.iter().filter_map(|slot| lease_ends_ms.get(slot));
        self.bucket.mint(ends_ms.copied(), now_ms);
    }
}

fn lower_of(held: &Rate, new: &Rate) -> Rate {
    Rate {
        schema: new.schema,
        tokens_per_s: held.tokens_per_s.min(new.tokens_per_s),
        burst_tokens: held.burst_tokens.min(new.burst_tokens),
    }
}
