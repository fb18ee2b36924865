//! Rate and burst of a team, enforced over all instances together.
//!
//! There are [`SLOTS`] slots. Each is held by one instance at a time, under a
//! lease on the platform. A team's rate is divided into [`SLOTS_PER_TEAM`]
//! equal shares, and the holder of a slot refills the share that belongs to it.
//! All instances compute the same slots for a team. Tokens are spent locally or
//! granted to a peer that requests them, and granting never creates tokens. So
//! the tokens granted up to any time are at most burst + rate x time, even if
//! instances are paused, partitioned or restarted.

mod bucket;
mod grant;
mod instance_limits;
mod ledger;
mod list_schedule;
mod reservation;
mod retry;
mod shortage_tracker;
mod slot;
mod table;
mod team_slots;

pub use {
    bucket::Bucket,
    grant::Grant,
    instance_limits::{InstanceLimits, WriteStop},
    ledger::Ledger,
    list_schedule::{ListSchedule, jittered},
    reservation::{PeerGrant, Reservation},
    retry::{RefusedRequest, RetrySchedule, refill_ms},
    shortage_tracker::{MAX_WAIT_MS, ShortageTracker},
    slot::{LONG_LEASE_MS, SHORT_LEASE_MS, SlotBody, lease_ms},
    table::{ListedSlot, SlotList, SlotTable, SlotWrite},
    team_slots::{SLOTS_PER_TEAM, team_slots},
};

/// Number of slots, shared by all teams.
pub const SLOTS: u32 = 512;
