use {super::SLOTS_PER_TEAM, crate::record::Rate, std::collections::BTreeMap};

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
    refundable_micro: BTreeMap<u64, u128>,
    total_refundable_micro: u128,
    debt_micro: u128,
    refilled_ms: u64,
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
            refundable_micro: BTreeMap::new(),
            total_refundable_micro: 0,
            debt_micro: 0,
            refilled_ms: now_ms,
        }
    }

    /// Mints what leases that end at these times allow up to `now_ms`.
    ///
    /// A lease that has ended mints up to its end and lends no capacity any
    /// more: its next holder has that share of the burst.
    pub fn refill(&mut self, lease_ends_ms: impl Iterator<Item = u64>, now_ms: u64) {
        let mut held_slots = 0;
        let mut elapsed_ms: u128 = 0;
        for end_ms in lease_ends_ms {
            held_slots += u64::from(end_ms > now_ms);
            elapsed_ms += u128::from(end_ms.min(now_ms).saturating_sub(self.refilled_ms));
        }
        self.refilled_ms = self.refilled_ms.max(now_ms);
        let micro_per_ms = u128::from(self.rate.tokens_per_s) * MICRO / MS_PER_S;
        let refilled = micro_per_ms.saturating_mul(elapsed_ms) / SLOTS_PER_TEAM as u128;
        let repaid = refilled.min(self.debt_micro);
        self.debt_micro -= repaid;
        self.level_micro = self.level_micro.saturating_add(refilled - repaid);
        self.limit_to_capacity(held_slots);
    }

    /// Takes a changed rate over.
    ///
    /// The time since the last mint is paid at the lower of both rates: when
    /// the record changed within it is not known here.
    pub fn set_rate(&mut self, rate: &Rate) {
        self.rate = rate.clone();
    }

    /// Returns the rate that the bucket mints at.
    pub fn rate(&self) -> &Rate {
        &self.rate
    }

    /// Returns the whole tokens held.
    pub fn tokens(&self) -> u64 {
        whole_tokens(self.level_micro)
    }

    /// Takes tokens out as a part of a reservation, all or none.
    pub fn take(&mut self, tokens: u64, debit_id: u64) -> bool {
        let requested = to_micro(tokens);
        if requested > self.level_micro {
            return false;
        }
        self.level_micro -= requested;
        self.add_refundable(requested, debit_id);
        true
    }

    /// Takes up to so many tokens out as a part of a reservation, and returns
    /// how many.
    pub fn take_up_to(&mut self, tokens: u64, debit_id: u64) -> u64 {
        let taken = tokens.min(self.tokens());
        self.take(taken, debit_id);
        taken
    }

    /// Ends a part and puts its unused tokens back as far as it still has
    /// room; returns how many did not fit. A reservation that is put back
    /// after a long answer would otherwise stand on top of a full burst.
    pub fn refund(&mut self, tokens: u64, debit_id: u64) -> u64 {
        let refundable = self.refundable_micro.remove(&debit_id).unwrap_or_default();
        let refunded = to_micro(tokens).min(refundable);
        self.total_refundable_micro -= refundable;
        self.level_micro += refunded;
        tokens - whole_tokens(refunded)
    }

    /// Charges what a request used beyond its reservation: an engine may count
    /// more tokens in a prompt than the estimate. What is minted next pays.
    pub fn charge(&mut self, tokens: u64) {
        self.debt_micro += to_micro(tokens);
    }

    fn add_refundable(&mut self, tokens_micro: u128, debit_id: u64) {
        *self.refundable_micro.entry(debit_id).or_default() += tokens_micro;
        self.total_refundable_micro += tokens_micro;
    }

    /// Cuts level and rooms to the capacity. Minting takes the room of the
    /// oldest part first: taking it from a young one would let the old one
    /// put back, in a later span of time, what that span has minted already.
    fn limit_to_capacity(&mut self, held_slots: u64) {
        let capacity = self.capacity(held_slots);
        self.level_micro = self.level_micro.min(capacity);
        let mut over = self
            .total_refundable_micro
            .saturating_sub(capacity - self.level_micro);
        self.total_refundable_micro -= over;
        while let Some(mut oldest) = self.refundable_micro.first_entry() {
            if over < *oldest.get() {
                *oldest.get_mut() -= over;
                return;
            }
            over -= oldest.remove();
        }
    }

    fn capacity(&self, slots: u64) -> u128 {
        to_micro(self.rate.burst_tokens) * u128::from(slots) / SLOTS_PER_TEAM as u128
    }
}

fn to_micro(tokens: u64) -> u128 {
    u128::from(tokens) * MICRO
}

fn whole_tokens(micro: u128) -> u64 {
    u64::try_from(micro / MICRO).unwrap_or(u64::MAX)
}
