//! Tests that the end of a critical task is reported.

use {
    mangowalk_gateway::CriticalTasks,
    std::future::pending,
    tokio::{runtime, task::LocalSet},
};

/// Guards against an instance that keeps running after the task that sends
/// heartbeats panics: callers would still be sent to it although its peers take
/// it for gone. The panic must reach the owner of the tasks, which ends the
/// process.
#[test]
fn a_panic_of_a_critical_task_is_reported() {
    let event_loop = runtime::Builder::new_current_thread()
        .build()
        .expect("the event loop can be built");
    let reason = LocalSet::new().block_on(&event_loop, async {
        let mut tasks = CriticalTasks::default();
        tasks.start("callers", pending());
        tasks.start("heartbeats", async { panic!("the table is borrowed") });
        tasks.wait_for_end().await
    });
    assert_eq!(reason, "panicked: the table is borrowed");
}
