use {
    std::future::Future,
    tokio::task::{JoinError, JoinSet},
};

/// Tasks without which an instance can't serve.
///
/// A task that panics ends alone: the others would go on, and an instance that
/// sends no heartbeat or follows no store would look alive to its callers.
/// Whoever holds the tasks learns of the first end and ends the process, which
/// is started again.
#[derive(Debug, Default)]
pub struct CriticalTasks {
    tasks: JoinSet<&'static str>,
}

impl CriticalTasks {
    /// Starts a task that runs as long as the instance.
    pub fn start(&mut self, name: &'static str, task: impl Future<Output = ()> + 'static) {
        self.tasks.spawn_local(async move {
            task.await;
            name
        });
    }

    /// Waits until a task ends, and returns what is known of it.
    pub async fn wait_for_end(&mut self) -> String {
        match self.tasks.join_next().await {
            Some(Ok(name)) => format!("{name} returned"),
            Some(Err(error)) => describe_failure(error),
            None => "there are none".to_owned(),
        }
    }
}

fn describe_failure(error: JoinError) -> String {
    let Ok(panic) = error.try_into_panic() else {
        return "it was cancelled".to_owned();
    };
    let text = panic.downcast_ref::<String>().map(String::as_str);
    let text = text.or_else(|| panic.downcast_ref::<&str>().copied());
    format!("panicked: {}", text.unwrap_or("without a message"))
}
