//! Resource usage of a process, read from `/proc`.

use std::fs;

/// Clock ticks per second, the unit of processor time in `/proc`.
const TICKS_PER_S: f64 = 100.0;

/// Bytes per memory page.
const PAGE_BYTES: u64 = 4_096;

/// Index of user time among the fields after the command's name.
const USER_TIME_FIELD: usize = 11;

/// Returns the processor time that a process has used, user and system time
/// together, in seconds.
pub(crate) fn cpu_s(pid: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    let ticks = |i: usize| -> f64 { fields.get(i).and_then(|f| f.parse().ok()).unwrap_or(0.0) };
    (ticks(USER_TIME_FIELD) + ticks(USER_TIME_FIELD + 1)) / TICKS_PER_S
}

/// Returns the resident memory of a process, in KiB.
pub(crate) fn resident_kib(pid: u32) -> u64 {
    let statm = fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages: u64 = statm
        .split_whitespace()
        .nth(1)
        .and_then(|f| f.parse().ok())
        .unwrap_or(0);
    pages * PAGE_BYTES / 1_024
}

/// Returns the resident memory of this process, in KiB.
pub(crate) fn own_resident_kib() -> u64 {
    resident_kib(std::process::id())
}
