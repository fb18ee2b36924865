//! Rate and burst over all instances together.
//!
//! There are [`SLOTS`] slots. One instance at a time holds a slot, under a
//! lease of the platform. A team's rate is cut into [`HOMES`] equal shares,
//! and each is minted by the holder of one slot, the same for all instances. Tokens are spent locally or moved to a peer that asks, and
//! moving never makes any. So the tokens granted up to any time are at most
//! burst + rate x time, whoever is paused, cut off or restarted.

mod bucket;
mod grant;
mod holding;
mod homes;
mod ledger;
mod reservation;
mod retry;
mod scarcity;
mod slot;
mod table;

pub use {
    bucket::Bucket,
    grant::Grant,
    holding::Holding,
    homes::{HOMES, homes_of},
    ledger::Ledger,
    reservation::{Moved, Reservation},
    retry::{RetryAsk, RetryTimes, minting_ms},
    scarcity::{LONGEST_WAIT_MS, Scarcity},
    slot::{LONG_LEASE_MS, SHORT_LEASE_MS, SlotBody, lease_ms},
    table::{ListedSlot, SlotList, SlotTable, SlotWrite},
};

/// Slots that instances hold, for all teams together.
pub const SLOTS: u32 = 512;
