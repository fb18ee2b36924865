use {
    crate::instance::Instance,
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, sleep_until},
};

/// Interval at which the delay of the event loop is measured.
const MEASURE_INTERVAL: Duration = Duration::from_millis(500);

/// Delay from which on it is logged.
const LOGGED_DELAY: Duration = Duration::from_millis(200);

/// Measures by how much timers are late, as the event loop was busy or the process didn't run.
/// All that callers and engines send waits as long. Never returns.
pub(crate) async fn measure_loop_delay(instance: Rc<Instance>) {
    loop {
        let due = Instant::now() + MEASURE_INTERVAL;
        sleep_until(due).await;
        let delay = due.elapsed();
        let delay_ms = delay.as_millis() as u64;
        instance.counters.observe("loop_delay", delay_ms);
        if delay >= LOGGED_DELAY {
            log::warn!("event=loop_late delay_ms={delay_ms}");
        }
    }
}
