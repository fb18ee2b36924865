//! Rate and burst over all instances together.
//!
//! There are [`SLOTS`] slots. One instance at a time holds a slot, under a
//! lease of the platform. A team's rate is cut into [`SLOTS_PER_TEAM`] equal shares,
//! and each is minted by the holder of one slot, the same for all instances. Tokens are spent locally or moved to a peer that asks, and
//! moving never makes any. So the tokens granted up to any time are at most
//! burst + rate x time, whoever is paused, cut off or restarted.

mod bucket;
mod grant;
mod instance_limits;
mod ledger;
mod reservation;
mod retry;
mod shortage_tracker;
mod slot;
mod table;
mod team_slots;

pub use {
    bucket::Bucket,
    grant::Grant,
    instance_limits::InstanceLimits,
    ledger::Ledger,
    reservation::{PeerGrant, Reservation},
    retry::{RefusedRequest, RetrySchedule, refill_ms},
    shortage_tracker::{MAX_WAIT_MS, ShortageTracker},
    slot::{LONG_LEASE_MS, SHORT_LEASE_MS, SlotBody, lease_ms},
    table::{ListedSlot, SlotList, SlotTable, SlotWrite},
    team_slots::{SLOTS_PER_TEAM, team_slots},
};

/// Slots that instances hold, for all teams together.
pub const SLOTS: u32 = 512;
