//! Tasks without which an instance can't serve.

use {
    mangowalk_gateway::VitalTasks,
    std::future::pending,
    tokio::{runtime, task::LocalSet},
};

/// The task that sends heartbeats panics while all others run. Callers would be
/// sent to an instance that its peers take for gone; so the panic is told to
/// whoever may end the process.
#[test]
fn the_end_of_a_vital_task_is_told() {
    let event_loop = runtime::Builder::new_current_thread()
        .build()
        .expect("the system gives an event loop");
    let told = LocalSet::new().block_on(&event_loop, async {
        let mut tasks = VitalTasks::default();
        tasks.start("callers", pending());
        tasks.start("heartbeats", async { panic!("the table is borrowed") });
        tasks.first_end().await
    });
    assert_eq!(told, "panicked: the table is borrowed");
}
