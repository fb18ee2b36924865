use {super::HOMES, crate::record::Rate, std::collections::BTreeMap};

const MICRO: u128 = 1_000_000;
const MS_PER_S: u128 = 1_000;

/// One instance's tokens of one team.
///
/// Counted in millionths of a token, so that slow rates lose nothing to
/// rounding. Each part of a reservation has room in the bucket for what comes
/// back of it, and level and rooms together are at most the capacity. The
/// capacities of all instances together are at most the burst. So in any span
/// of time no more is granted than burst + rate x span: what is put back in
/// it by reservations from before it was room at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct Bucket {
    rate: Rate,
    level_micro: u128,
    rooms_micro: BTreeMap<u64, u128>,
    all_rooms_micro: u128,
    debt_micro: u128,
    minted_ms: u64,
}

impl Bucket {
    /// Returns an empty bucket that mints from the given time on.
    ///
    /// A new holder of a slot starts empty: it can't know what the holder
    /// before it has spent, and starting full would hand the burst out again
    /// at each restart.
    pub fn empty(rate: &Rate, now_ms: u64) -> Bucket {
        Bucket {
            rate: rate.clone(),
            level_micro: 0,
            rooms_micro: BTreeMap::new(),
            all_rooms_micro: 0,
            debt_micro: 0,
            minted_ms: now_ms,
        }
    }

    /// Mints what leases that end at these times allow up to `now_ms`.
    ///
    /// A lease that has ended mints up to its end and lends no capacity any
    /// more: its next holder has that share of the burst.
    pub fn mint(&mut self, lease_ends_ms: impl Iterator<Item = u64>, now_ms: u64) {
        let mut live_slots = 0;
        let mut elapsed_ms: u128 = 0;
        for end_ms in lease_ends_ms {
            live_slots += u64::from(end_ms > now_ms);
            elapsed_ms += u128::from(end_ms.min(now_ms).saturating_sub(self.minted_ms));
        }
        self.minted_ms = self.minted_ms.max(now_ms);
        let micro_per_ms = u128::from(self.rate.tokens_per_s) * MICRO / MS_PER_S;
        let minted = micro_per_ms.saturating_mul(elapsed_ms) / HOMES as u128;
        let paid = minted.min(self.debt_micro);
        self.debt_micro -= paid;
        self.level_micro = self.level_micro.saturating_add(minted - paid);
        self.cut(live_slots);
    }

    /// Takes a changed rate over.
    ///
    /// The time since the last mint is paid at the lower of both rates: when
    /// the record changed within it is not known here.
    pub fn change_rate(&mut self, rate: &Rate) {
        self.rate = rate.clone();
    }

    /// Returns the rate that the bucket mints at.
    pub fn rate(&self) -> &Rate {
        &self.rate
    }

    /// Returns the whole tokens held.
    pub fn tokens(&self) -> u64 {
        whole(self.level_micro)
    }

    /// Takes tokens out as a part of a reservation, all or none.
    pub fn take(&mut self, tokens: u64, part: u64) -> bool {
        let wanted = micro(tokens);
        if wanted > self.level_micro {
            return false;
        }
        self.level_micro -= wanted;
        self.keep_room(wanted, part);
        true
    }

    /// Takes up to so many tokens out as a part of a reservation, and returns
    /// how many.
    pub fn draw(&mut self, tokens: u64, part: u64) -> u64 {
        let drawn = tokens.min(self.tokens());
        self.take(drawn, part);
        drawn
    }

    /// Ends a part and puts its unused tokens back as far as it still has
    /// room; returns how many did not fit. A reservation that is put back
    /// after a long answer would otherwise stand on top of a full burst.
    pub fn put_back(&mut self, tokens: u64, part: u64) -> u64 {
        let room = self.rooms_micro.remove(&part).unwrap_or_default();
        let back = micro(tokens).min(room);
        self.all_rooms_micro -= room;
        self.level_micro += back;
        tokens - whole(back)
    }

    /// Charges what a request used beyond its reservation: an engine may count
    /// more tokens in a prompt than the estimate. What is minted next pays.
    pub fn charge(&mut self, tokens: u64) {
        self.debt_micro += micro(tokens);
    }

    fn keep_room(&mut self, room_micro: u128, part: u64) {
        *self.rooms_micro.entry(part).or_default() += room_micro;
        self.all_rooms_micro += room_micro;
    }

    /// Cuts level and rooms to the capacity. Minting takes the room of the
    /// oldest part first: taking it from a young one would let the old one
    /// put back, in a later span of time, what that span has minted already.
    fn cut(&mut self, live_slots: u64) {
        let capacity = self.capacity(live_slots);
        self.level_micro = self.level_micro.min(capacity);
        let mut over = self
            .all_rooms_micro
            .saturating_sub(capacity - self.level_micro);
        self.all_rooms_micro -= over;
        while let Some(mut oldest) = self.rooms_micro.first_entry() {
            if over < *oldest.get() {
                *oldest.get_mut() -= over;
                return;
            }
            over -= oldest.remove();
        }
    }

    fn capacity(&self, slots: u64) -> u128 {
        micro(self.rate.burst_tokens) * u128::from(slots) / HOMES as u128
    }
}

fn micro(tokens: u64) -> u128 {
    u128::from(tokens) * MICRO
}

fn whole(micro: u128) -> u64 {
    u64::try_from(micro / MICRO).unwrap_or(u64::MAX)
}
