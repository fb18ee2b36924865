//! Which requests an instance still takes while it shuts down.

mod recent_durations;
mod request_time;

pub use {
    recent_durations::RecentDurations,
    request_time::{RequestTime, can_finish},
};
