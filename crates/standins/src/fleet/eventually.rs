use std::{thread, time::Duration};

/// Checks before a test fails, over at least 30 s.
const MAX_CHECKS: u32 = 600;
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Repeats the check every 50 ms until it holds. `what` names the condition.
///
/// # Panics
///
/// Panics with `what` if the check has not held after the last repetition.
pub fn eventually(what: &str, mut check: impl FnMut() -> bool) {
    for _ in 0..MAX_CHECKS {
        if check() {
            return;
        }
        thread::sleep(CHECK_INTERVAL);
    }
    panic!("the condition was not met in time: {what}");
}
