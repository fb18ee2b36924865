use {
    super::{Ledger, SlotBody, SlotList, SlotTable, SlotWrite},
    crate::edge::PlatformError,
    std::{net::SocketAddr, ops::ControlFlow},
};

/// The slots of one instance, and the tokens that it mints from them.
///
/// The table says what the platform knows, the ledger what may be spent. Both
/// change together here, the ledger always first where something is given up.
#[derive(Debug, Clone)]
pub struct InstanceLimits {
    table: SlotTable,
    ledger: Ledger,
}

impl InstanceLimits {
    /// Returns the holding of an instance that starts: nothing.
    pub fn new(address: SocketAddr, incarnation: u64) -> InstanceLimits {
        InstanceLimits {
            table: SlotTable::new(address, incarnation),
            ledger: Ledger::with_debit_ids_after(incarnation),
        }
    }

    /// Returns the tokens.
    pub fn ledger(&mut self) -> &mut Ledger {
        &mut self.ledger
    }

    /// Returns how many slots are held at a time.
    pub fn slots(&self, now_ms: u64) -> u32 {
        self.ledger.slots(now_ms)
    }

    /// Returns who else holds a team's homes, as far as the last list tells.
    pub fn holders(&self, team: &str) -> Vec<SocketAddr> {
        self.table.holders(team)
    }

    /// Returns whether everything was given up.
    pub fn is_closed(&self) -> bool {
        self.ledger.is_closed()
    }

    /// Returns what this instance writes into a slot.
    pub fn body(&self, slot: u32, nonce: u64) -> SlotBody {
        self.table.body(slot, nonce)
    }

    /// Returns the next writes, at most `max_writes`, with so many instances live.
    pub fn plan(&self, live_instances: u32, max_writes: usize, now_ms: u64) -> Vec<SlotWrite> {
        if self.is_closed() {
            return Vec::new();
        }
        self.table.plan(live_instances, max_writes, now_ms)
    }

    /// Gives everything up for good, and returns the writes that let others
    /// take the slots at once.
    pub fn close(&mut self) -> Vec<SlotWrite> {
        self.ledger.close();
        self.table.release_all()
    }

    /// Takes a list of every slot; what turns out not to be held mints no
    /// more.
    pub fn apply_list(&mut self, list: &SlotList, now_ms: u64) {
        for slot in self.table.apply_list(list, now_ms) {
            self.ledger.release(slot, now_ms);
        }
    }

    /// Takes the result of writing a slot in a call begun at `begun_ms`, and
    /// returns whether to go on with the next write.
    ///
    /// A reply that was lost has been read back: [`PlatformError::Lost`] says
    /// that it is still open whether the write took effect. Then an older
    /// lease goes on to its own end and no further.
    pub fn apply_write_result(
        &mut self,
        slot: u32,
        begun_ms: u64,
        result: &Result<u64, PlatformError>,
        now_ms: u64,
    ) -> ControlFlow<()> {
        match result {
            Ok(version) => {
                let end_ms = self.table.record_write(slot, *version, begun_ms);
                self.ledger.hold(slot, end_ms, now_ms);
                return ControlFlow::Continue(());
            }
            Err(PlatformError::Conflict { .. }) => self.drop_slot(slot, now_ms),
            Err(_) => {}
        }
        ControlFlow::Break(())
    }

    /// Stops to mint on a slot, before its release is sent: its next holder
    /// may mint from the moment of that write on.
    pub fn stop_refill(&mut self, slot: u32, now_ms: u64) {
        self.ledger.release(slot, now_ms);
    }

    /// Takes the result of releasing a slot, and returns whether to go on
    /// with the next write.
    pub fn apply_release_result(
        &mut self,
        slot: u32,
        result: &Result<u64, PlatformError>,
        now_ms: u64,
    ) -> ControlFlow<()> {
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
        ControlFlow::Break(())
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
