use {
    super::{Ledger, SlotBody, SlotList, SlotTable, SlotWrite},
    crate::edge::PlatformError,
    std::{net::SocketAddr, ops::ControlFlow},
};

/// Why a batch of writes of slots stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteStop {
    /// Another instance wrote the slot first.
    LostRace,
    /// The platform was not reached or refused the write, or it is unknown whether
    /// the write took effect.
    Failed,
}

/// The slots that one instance holds, and the token buckets that they refill.
///
/// The table holds the slots as the platform knows them, the ledger the tokens
/// that may be spent. Both change together here; where a slot is given up, the
/// ledger changes first.
#[derive(Debug, Clone)]
pub struct InstanceLimits {
    table: SlotTable,
    ledger: Ledger,
}

impl InstanceLimits {
    /// Returns the limits of an instance without slots. `address` is its address
    /// towards callers; `incarnation` is drawn at random at each start.
    pub fn new(address: SocketAddr, incarnation: u64) -> InstanceLimits {
        InstanceLimits {
            table: SlotTable::new(address, incarnation),
            ledger: Ledger::with_debit_ids_after(incarnation),
        }
    }

    /// Returns the ledger of tokens, for taking and refunding.
    pub fn ledger(&mut self) -> &mut Ledger {
        &mut self.ledger
    }

    /// Returns how many slots are held under a valid lease at `now_ms`.
    pub fn slots(&self, now_ms: u64) -> u32 {
        self.ledger.slots(now_ms)
    }

    /// Returns the addresses of other instances that hold a team's slots,
    /// according to the last list.
    pub fn holders(&self, team: &str) -> Vec<SocketAddr> {
        self.table.holders(team)
    }

    /// Returns whether [`InstanceLimits::close`] was called.
    pub fn is_closed(&self) -> bool {
        self.ledger.is_closed()
    }

    /// Returns the body that this instance writes into a slot. `nonce` is drawn
    /// for each write.
    pub fn body(&self, slot: u32, nonce: u64) -> SlotBody {
        self.table.body(slot, nonce)
    }

    /// Returns the next writes, at most `max_writes`, that bring this instance to
    /// its share of the slots among `live_instances`; none once it is closed.
    pub fn plan(&self, live_instances: u32, max_writes: usize, now_ms: u64) -> Vec<SlotWrite> {
        if self.is_closed() {
            return Vec::new();
        }
        self.table.plan(live_instances, max_writes, now_ms)
    }

    /// Stops spending permanently, and returns the writes that release all slots
    /// so that other instances can take them at once.
    pub fn close(&mut self) -> Vec<SlotWrite> {
        self.ledger.close();
        self.table.release_all()
    }

    /// Applies a list of all slots, answered at `now_ms`. Slots that turn out not
    /// to be held stop refilling.
    pub fn apply_list(&mut self, list: &SlotList, now_ms: u64) {
        for slot in self.table.apply_list(list, now_ms) {
            self.ledger.release(slot, now_ms);
        }
    }

    /// Applies the result of writing a slot in a call begun at `begun_ms`, and
    /// returns whether to continue with the next write.
    ///
    /// The caller reads the slot back if the reply was lost, so
    /// [`PlatformError::Lost`] means that it is still unknown whether the write
    /// took effect. In that case an older lease stays valid until its own end.
    pub fn apply_write_result(
        &mut self,
        slot: u32,
        begun_ms: u64,
        result: &Result<u64, PlatformError>,
        now_ms: u64,
    ) -> ControlFlow<WriteStop> {
        match result {
            Ok(version) => {
                let end_ms = self.table.record_write(slot, *version, begun_ms);
                self.ledger.hold(slot, end_ms, now_ms);
                ControlFlow::Continue(())
            }
            Err(PlatformError::Conflict { .. }) => {
                self.drop_slot(slot, now_ms);
                ControlFlow::Break(WriteStop::LostRace)
            }
            Err(_) => ControlFlow::Break(WriteStop::Failed),
        }
    }

    /// Stops refilling from a slot. Must be called before the release is sent,
    /// because the next holder may refill from the time of that write on.
    pub fn stop_refill(&mut self, slot: u32, now_ms: u64) {
        self.ledger.release(slot, now_ms);
    }

    /// Applies the result of releasing a slot, and returns whether to continue
    /// with the next write. If the platform was not reached or refused the
    /// release, the slot refills again until the end of its lease.
    pub fn apply_release_result(
        &mut self,
        slot: u32,
        result: &Result<u64, PlatformError>,
        now_ms: u64,
    ) -> ControlFlow<WriteStop> {
        match result {
            Ok(_) => {
                self.table.record_release(slot);
                return ControlFlow::Continue(());
            }
            Err(PlatformError::Unreached | PlatformError::Refused { .. }) => {
                self.resume_refill(slot, now_ms);
            }
            Err(PlatformError::Lost | PlatformError::Conflict { .. }) => {
                self.drop_slot(slot, now_ms)
            }
        }
        ControlFlow::Break(WriteStop::Failed)
    }

    fn resume_refill(&mut self, slot: u32, now_ms: u64) {
        if let Some(end_ms) = self.table.lease_end_ms(slot) {
            self.ledger.hold(slot, end_ms, now_ms);
        }
    }

    fn drop_slot(&mut self, slot: u32, now_ms: u64) {
        self.ledger.release(slot, now_ms);
        self.table.record_loss(slot);
    }
}
