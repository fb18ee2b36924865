//! Rate and burst over all instances together.
//!
//! Every rate is cut into [`SLOTS`] equal shares. One instance at a time
//! holds a slot, under a lease of the platform, and only the holder mints the
//! slot's tokens. Tokens are spent locally or moved to a peer that asks, and
//! moving never makes any. So the tokens granted up to any time are at most
//! burst + rate x time, whoever is paused, cut off or restarted.

mod bucket;
mod holding;
mod ledger;
mod reservation;
mod retry;
mod scarcity;
mod slot;
mod table;

pub use {
    bucket::Bucket,
    holding::Holding,
    ledger::Ledger,
    reservation::Reservation,
    retry::{RetryAsk, RetryTimes, minting_ms},
    scarcity::Scarcity,
    slot::{LONG_LEASE_MS, SHORT_LEASE_MS, SlotBody, lease_ms},
    table::{ListedSlot, SlotList, SlotTable, SlotWrite},
};

/// Shares into which every rate is cut.
pub const SLOTS: u32 = 512;
