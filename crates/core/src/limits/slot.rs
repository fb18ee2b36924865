use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Lease of most slots. It is long, so that an outage of the platform leaves
/// their tokens flowing.
pub const LONG_LEASE_MS: u64 = 3_600_000;

/// Lease of one slot in four. It is short, so that part of the rate comes
/// back soon if instances crash and their addresses never come back.
pub const SHORT_LEASE_MS: u64 = 120_000;

/// One slot in so many has the short lease.
const SHORT_LEASE_EVERY: u32 = 4;

/// A slot as the platform holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotBody {
    /// Schema number.
    pub schema: u32,
    /// Address of the holder towards callers.
    pub holder: SocketAddr,
    /// Number that the holder drew at its start.
    pub incarnation: u64,
    /// Number drawn for this write. It tells the write from every other one,
    /// the holder's own earlier ones too, when its reply was lost.
    pub nonce: u64,
    /// Time for which the holder may mint after it sent this write.
    pub lease_ms: u64,
}

impl SlotBody {
    /// Returns what a holder writes.
    pub fn new(slot: u32, holder: SocketAddr, incarnation: u64, nonce: u64) -> SlotBody {
        SlotBody {
            schema: 1,
            holder,
            incarnation,
            nonce,
            lease_ms: lease_ms(slot),
        }
    }

    /// Returns how long others leave a slot alone after they saw this write:
    /// the lease, and an allowance for clocks that run apart.
    pub fn takeover_wait_ms(&self) -> u64 {
        const DRIFT_ONE_IN: u64 = 100;
        const MIN_DRIFT_MS: u64 = 1_000;
        self.lease_ms
            .saturating_add(self.lease_ms / DRIFT_ONE_IN)
            .saturating_add(MIN_DRIFT_MS)
    }
}

/// Returns the lease of a slot.
pub fn lease_ms(slot: u32) -> u64 {
    if slot.is_multiple_of(SHORT_LEASE_EVERY) {
        SHORT_LEASE_MS
    } else {
        LONG_LEASE_MS
    }
}
