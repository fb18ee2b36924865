use {
    super::{Identity, lock},
    mangowalk_core::{
        edge::PlatformError,
        limits::{
            Grant, InstanceLimits, PeerGrant, RefusedRequest, Reservation, RetrySchedule,
            ShortageTracker, SlotBody, SlotList, SlotWrite,
        },
        record::Rate,
    },
    std::{net::SocketAddr, ops::ControlFlow, sync::Mutex},
};

/// Tokens of every team that this instance may spend, and the slots from
/// which they come.
#[derive(Debug)]
pub struct SharedLimits {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    holding: InstanceLimits,
    retry_times: RetrySchedule,
    scarcity: ShortageTracker,
}

impl SharedLimits {
    /// Returns the board of an instance that holds nothing yet.
    pub fn new(identity: &Identity) -> SharedLimits {
        let inner = Inner {
            holding: InstanceLimits::new(identity.caller_address, identity.incarnation),
            retry_times: RetrySchedule::default(),
            scarcity: ShortageTracker::default(),
        };
        SharedLimits {
            inner: Mutex::new(inner),
        }
    }

    /// Returns the next writes for the slots.
    pub fn plan(&self, live_instances: u32, most: usize, now_ms: u64) -> Vec<SlotWrite> {
        lock(&self.inner).holding.plan(live_instances, most, now_ms)
    }

    /// Returns what this instance writes into a slot.
    pub fn body(&self, slot: u32, nonce: u64) -> SlotBody {
        lock(&self.inner).holding.body(slot, nonce)
    }

    /// Takes a list of every slot.
    pub fn apply_list(&self, list: &SlotList, now_ms: u64) {
        lock(&self.inner).holding.apply_list(list, now_ms);
    }

    /// Takes the result of writing a slot in a call begun at `begun_ms`.
    pub fn apply_write_result(
        &self,
        slot: u32,
        begun_ms: u64,
        result: &Result<u64, PlatformError>,
        now_ms: u64,
    ) -> ControlFlow<()> {
        let mut inner = lock(&self.inner);
        inner
            .holding
            .apply_write_result(slot, begun_ms, result, now_ms)
    }

    /// Stops to mint on a slot, before its release is sent.
    pub fn stop_refill(&self, slot: u32, now_ms: u64) {
        lock(&self.inner).holding.stop_refill(slot, now_ms);
    }

    /// Takes the result of releasing a slot.
    pub fn apply_release_result(
        &self,
        slot: u32,
        result: &Result<u64, PlatformError>,
        now_ms: u64,
    ) -> ControlFlow<()> {
        lock(&self.inner)
            .holding
            .apply_release_result(slot, result, now_ms)
    }

    /// Gives everything up for good, and returns the writes that let others
    /// take the slots at once.
    pub fn close(&self) -> Vec<SlotWrite> {
        lock(&self.inner).holding.close()
    }

    /// Returns whether everything was given up.
    pub fn is_closed(&self) -> bool {
        lock(&self.inner).holding.is_closed()
    }

    /// Forgets teams whose rates are withdrawn.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        lock(&self.inner).holding.ledger().retain(keep);
    }

    /// Returns how many slots are held at a time.
    pub fn slots(&self, now_ms: u64) -> u32 {
        lock(&self.inner).holding.slots(now_ms)
    }

    /// Returns the tokens of a team that are here.
    pub fn tokens(&self, team: &str, rate: &Rate, now_ms: u64) -> u64 {
        lock(&self.inner)
            .holding
            .ledger()
            .tokens(team, rate, now_ms)
    }

    /// Takes tokens of a team, all or none.
    pub fn take(&self, team: &str, rate: &Rate, tokens: u64, now_ms: u64) -> Option<Reservation> {
        let mut inner = lock(&self.inner);
        inner.holding.ledger().take(team, rate, tokens, now_ms)
    }

    /// Adds up to so many tokens to a reservation, which asks peers for the
    /// rest.
    pub fn take_up_to(&self, reservation: &mut Reservation, rate: &Rate, tokens: u64, now_ms: u64) {
        let mut inner = lock(&self.inner);
        let ledger = inner.holding.ledger();
        ledger.take_up_to(reservation, rate, tokens, now_ms);
    }

    /// Takes tokens out for a peer that asks, all or none.
    pub fn grant(&self, team: &str, rate: &Rate, tokens: u64, now_ms: u64) -> Grant {
        let mut inner = lock(&self.inner);
        inner.holding.ledger().grant(team, rate, tokens, now_ms)
    }

    /// Returns who else holds a team's homes, as far as the last list tells.
    pub fn holders(&self, team: &str) -> Vec<SocketAddr> {
        lock(&self.inner).holding.holders(team)
    }

    /// Takes unused tokens of a grant back.
    pub fn take_back(&self, team: &str, part: u64, tokens: u64) {
        let mut inner = lock(&self.inner);
        inner.holding.ledger().take_back(team, part, tokens);
    }

    /// Ends a reservation, and returns what is to go back to peers.
    pub fn settle(&self, reservation: &Reservation, used_tokens: u64) -> Vec<PeerGrant> {
        let mut inner = lock(&self.inner);
        inner.holding.ledger().settle(reservation, used_tokens)
    }

    /// Reads or changes what is known of teams that are short of tokens.
    pub fn shortages<T>(&self, change: impl FnOnce(&mut ShortageTracker) -> T) -> T {
        change(&mut lock(&self.inner).scarcity)
    }

    /// Returns when a refused caller's tokens will be there.
    pub fn retry_ms(&self, team: &str, rate: &Rate, ask: &RefusedRequest, now_ms: u64) -> u64 {
        let mut inner = lock(&self.inner);
        inner.retry_times.retry_ms(team, rate, ask, now_ms)
    }
}
