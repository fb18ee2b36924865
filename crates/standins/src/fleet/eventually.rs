use std::{thread, time::Duration};

/// Looks before a test gives up.
const LOOKS: u32 = 600;
const PAUSE: Duration = Duration::from_millis(50);

/// Looks again and again until the check holds.
///
/// # Panics
///
/// Panics with what was waited for if the check never holds.
pub fn eventually(what: &str, mut check: impl FnMut() -> bool) {
    for _ in 0..LOOKS {
        if check() {
            return;
        }
        thread::sleep(PAUSE);
    }
    panic!("this did not come about: {what}");
}
