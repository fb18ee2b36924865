//! Tasks without which an instance can't serve.

use {
    mangowalk_gateway::CriticalTasks,
    std::future::pending,
    tokio::{runtime, task::LocalSet},
};

/// The task that sends heartbeats panics while all others run. Callers would be
/// sent to an instance that its peers take for gone; so the panic is told to
/// whoever may end the process.
#[test]
fn a_panic_of_a_critical_task_is_reported() {
    let event_loop = runtime::Builder::new_current_thread()
        .build()
        .expect("the system gives an event loop");
    let reason = LocalSet::new().block_on(&event_loop, async {
        let mut tasks = CriticalTasks::default();
        tasks.start("callers", pending());
        tasks.start("heartbeats", async { panic!("the table is borrowed") });
        tasks.wait_for_end().await
    });
    assert_eq!(reason, "panicked: the table is borrowed");
}
