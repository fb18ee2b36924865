use {
    std::future::Future,
    tokio::task::{JoinError, JoinSet},
};

/// Tasks that an instance can't serve without.
///
/// A task that panics ends alone and the others keep running, so an instance
/// that no longer sends heartbeats or follows the store would still look alive
/// to its callers. The owner of the tasks waits for the first one to end and
/// then ends the process, which is started again.
#[derive(Debug, Default)]
pub struct CriticalTasks {
    tasks: JoinSet<&'static str>,
}

impl CriticalTasks {
    /// Starts a task that runs as long as the instance.
    ///
    /// # Panics
    ///
    /// Panics outside of a [`LocalSet`](tokio::task::LocalSet).
    pub fn start(&mut self, name: &'static str, task: impl Future<Output = ()> + 'static) {
        self.tasks.spawn_local(async move {
            task.await;
            name
        });
    }

    /// Waits until any task ends, and returns a description of how it ended: the
    /// name of a task that returned, or the message of a panic.
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
