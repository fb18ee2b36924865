use {
    super::{Identity, lock},
    mangowalk_core::{
        edge::PlatformError,
        limits::{
            Grant, InstanceLimits, PeerGrant, RefusedRequest, Reservation, RetrySchedule,
            ShortageTracker, SlotBody, SlotList, SlotWrite, WriteStop,
        },
        record::Rate,
    },
    std::{net::SocketAddr, ops::ControlFlow, sync::Mutex},
};

/// Tokens that this instance may spend for each team, and the slots whose
/// refill provides them.
#[derive(Debug)]
pub struct SharedLimits {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    limits: InstanceLimits,
    retry_schedule: RetrySchedule,
    shortages: ShortageTracker,
}

impl SharedLimits {
    /// Returns the limits of an instance that holds no slot yet.
    pub fn new(identity: &Identity) -> SharedLimits {
        let inner = Inner {
            limits: InstanceLimits::new(identity.caller_address, identity.incarnation),
            retry_schedule: RetrySchedule::default(),
            shortages: ShortageTracker::default(),
        };
        SharedLimits {
            inner: Mutex::new(inner),
        }
    }

    /// Returns the next writes of slots, at most `max_writes`.
    pub fn plan(&self, live_instances: u32, max_writes: usize, now_ms: u64) -> Vec<SlotWrite> {
        lock(&self.inner)
            .limits
            .plan(live_instances, max_writes, now_ms)
    }

    /// Returns the body that this instance writes to claim or renew a slot.
    pub fn slot_body(&self, slot: u32, nonce: u64) -> SlotBody {
        lock(&self.inner).limits.body(slot, nonce)
    }

    /// Applies a list of all slots, as read from the platform.
    pub fn apply_list(&self, list: &SlotList, now_ms: u64) {
        lock(&self.inner).limits.apply_list(list, now_ms);
    }

    /// Applies the result of writing a slot in a call that began at
    /// `begun_ms`. `Break` means that the round of writes should stop.
    pub fn apply_write_result(
        &self,
        slot: u32,
        begun_ms: u64,
        result: &Result<u64, PlatformError>,
        now_ms: u64,
    ) -> ControlFlow<WriteStop> {
        let mut inner = lock(&self.inner);
        inner
            .limits
            .apply_write_result(slot, begun_ms, result, now_ms)
    }

    /// Stops the refill from a slot. Must be called before the release of the
    /// slot is sent.
    pub fn stop_refill(&self, slot: u32, now_ms: u64) {
        lock(&self.inner).limits.stop_refill(slot, now_ms);
    }

    /// Applies the result of releasing a slot. `Break` means that the round of
    /// writes should stop.
    pub fn apply_release_result(
        &self,
        slot: u32,
        result: &Result<u64, PlatformError>,
        now_ms: u64,
    ) -> ControlFlow<WriteStop> {
        lock(&self.inner)
            .limits
            .apply_release_result(slot, result, now_ms)
    }

    /// Gives up all slots for good. Returns the writes that release them, so
    /// that other instances can take them immediately.
    pub fn close(&self) -> Vec<SlotWrite> {
        lock(&self.inner).limits.close()
    }

    /// Returns whether all slots were given up by `close`.
    pub fn is_closed(&self) -> bool {
        lock(&self.inner).limits.is_closed()
    }

    /// Removes the teams for which `keep` returns false, because their rates
    /// were withdrawn.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        lock(&self.inner).limits.ledger().retain(keep);
    }

    /// Returns the number of slots that are held at `now_ms`.
    pub fn slots(&self, now_ms: u64) -> u32 {
        lock(&self.inner).limits.slots(now_ms)
    }

    /// Returns the tokens of a team that this instance holds.
    pub fn tokens(&self, team: &str, rate: &Rate, now_ms: u64) -> u64 {
        lock(&self.inner).limits.ledger().tokens(team, rate, now_ms)
    }

    /// Reserves tokens of a team. Returns `None`, and takes nothing, if fewer
    /// are held.
    pub fn take(&self, team: &str, rate: &Rate, tokens: u64, now_ms: u64) -> Option<Reservation> {
        let mut inner = lock(&self.inner);
        inner.limits.ledger().take(team, rate, tokens, now_ms)
    }

    /// Adds up to `tokens` tokens that are held here to a reservation. The
    /// caller asks peers for the rest.
    pub fn take_up_to(&self, reservation: &mut Reservation, rate: &Rate, tokens: u64, now_ms: u64) {
        let mut inner = lock(&self.inner);
        let ledger = inner.limits.ledger();
        ledger.take_up_to(reservation, rate, tokens, now_ms);
    }

    /// Takes tokens for a peer that asks for them, all or none.
    pub fn grant(&self, team: &str, rate: &Rate, tokens: u64, now_ms: u64) -> Grant {
        let mut inner = lock(&self.inner);
        inner.limits.ledger().grant(team, rate, tokens, now_ms)
    }

    /// Returns the other instances that hold slots of a team, according to the
    /// last list.
    pub fn holders(&self, team: &str) -> Vec<SocketAddr> {
        lock(&self.inner).limits.holders(team)
    }

    /// Takes back the tokens of a grant that the peer returns unused.
    pub fn apply_refund(&self, team: &str, grant_id: u64, tokens: u64) {
        let mut inner = lock(&self.inner);
        inner.limits.ledger().apply_refund(team, grant_id, tokens);
    }

    /// Ends a reservation of which `used_tokens` were used. Returns the grants
    /// of peers that must be refunded.
    pub fn settle(&self, reservation: &Reservation, used_tokens: u64) -> Vec<PeerGrant> {
        let mut inner = lock(&self.inner);
        inner.limits.ledger().settle(reservation, used_tokens)
    }

    /// Calls `access` with the tracker of teams that are short of tokens.
    pub fn shortages<T>(&self, access: impl FnOnce(&mut ShortageTracker) -> T) -> T {
        access(&mut lock(&self.inner).shortages)
    }

    /// Returns after how many milliseconds a refused caller should retry.
    pub fn retry_ms(&self, team: &str, rate: &Rate, request: &RefusedRequest, now_ms: u64) -> u64 {
        let mut inner = lock(&self.inner);
        inner.retry_schedule.retry_ms(team, rate, request, now_ms)
    }
}
