use nix::time::{ClockId, clock_gettime};

/// Returns the milliseconds since the machine booted, including the time for
/// which it was suspended.
///
/// The monotonic clock of the standard library stops while a machine is
/// suspended, so a lease that expired meanwhile would still look valid.
pub fn now_ms() -> u64 {
    read(ClockId::CLOCK_BOOTTIME)
}

/// Returns the wall clock in milliseconds since the Unix epoch.
///
/// It can jump, so it is used only in log lines and to distinguish one start
/// of an instance from the next.
pub fn wall_ms() -> u64 {
    read(ClockId::CLOCK_REALTIME)
}

fn read(clock: ClockId) -> u64 {
    // Fails only for a clock that the system doesn't have.
    clock_gettime(clock).map_or(0, |time| {
        time.tv_sec() as u64 * 1_000 + time.tv_nsec() as u64 / 1_000_000
    })
}
