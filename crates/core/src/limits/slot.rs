use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Lease of most slots, in milliseconds. Long, so that they keep refilling
/// during an outage of the platform.
pub const LONG_LEASE_MS: u64 = 3_600_000;

/// Lease of every fourth slot, in milliseconds. Short, so that part of the rate
/// is available again soon if instances crash and their addresses are not
/// reused.
pub const SHORT_LEASE_MS: u64 = 120_000;

/// Every n-th slot has the short lease.
const SHORT_LEASE_EVERY: u32 = 4;

/// Body of a slot as stored on the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotBody {
    /// Schema version of this body.
    pub schema: u32,
    /// Address on which the holder listens for callers.
    pub holder: SocketAddr,
    /// Random number that the holder drew at its start.
    pub incarnation: u64,
    /// Random number drawn for this write. It identifies the write when its
    /// reply was lost, also among earlier writes of the same holder.
    pub nonce: u64,
    /// Time in milliseconds for which the holder may refill, counted from
    /// before it sent this write.
    pub lease_ms: u64,
}

impl SlotBody {
    /// Returns the body that a holder writes into `slot`, with the slot's lease.
    pub fn new(slot: u32, holder: SocketAddr, incarnation: u64, nonce: u64) -> SlotBody {
        SlotBody {
            schema: 1,
            holder,
            incarnation,
            nonce,
            lease_ms: lease_ms(slot),
        }
    }

    /// Returns how many milliseconds other instances wait after first seeing this
    /// write before they take the slot over: the lease plus an allowance for
    /// clock drift of 1 % and one second.
    pub fn takeover_wait_ms(&self) -> u64 {
        const DRIFT_ONE_IN: u64 = 100;
        const MIN_DRIFT_MS: u64 = 1_000;
        self.lease_ms
            .saturating_add(self.lease_ms / DRIFT_ONE_IN)
            .saturating_add(MIN_DRIFT_MS)
    }
}

/// Returns the lease of a slot in milliseconds.
pub fn lease_ms(slot: u32) -> u64 {
    if slot.is_multiple_of(SHORT_LEASE_EVERY) {
        SHORT_LEASE_MS
    } else {
        LONG_LEASE_MS
    }
}
