use nix::time::{ClockId, clock_gettime};

/// Returns milliseconds since the machine's start, also those for which it
/// was suspended.
///
/// The steady clock of the standard library stands still while a machine is
/// suspended: a lease that lapsed meanwhile would look fresh.
pub fn now_ms() -> u64 {
    read(ClockId::CLOCK_BOOTTIME)
}

/// Returns milliseconds of the time of day. It jumps; only for log lines and
/// to tell one start of an instance from the next.
pub fn wall_ms() -> u64 {
    read(ClockId::CLOCK_REALTIME)
}

fn read(clock: ClockId) -> u64 {
    // The call fails only for a clock that the system doesn't have.
    clock_gettime(clock).map_or(0, |time| {
        time.tv_sec() as u64 * 1_000 + time.tv_nsec() as u64 / 1_000_000
    })
}
