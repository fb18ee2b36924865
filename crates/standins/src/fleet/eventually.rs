use std::{thread, time::Duration};

/// Looks before a test gives up.
const MAX_CHECKS: u32 = 600;
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Looks again and again until the check holds.
///
/// # Panics
///
/// Panics with what was waited for if the check never holds.
pub fn eventually(what: &str, mut check: impl FnMut() -> bool) {
    for _ in 0..MAX_CHECKS {
        if check() {
            return;
        }
        thread::sleep(CHECK_INTERVAL);
    }
    panic!("this did not come about: {what}");
}
