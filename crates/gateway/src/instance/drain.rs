use tokio::sync::watch;

/// Phase of the shutdown of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Drain {
    /// The instance serves callers.
    Serving,
    /// The instance is withdrawn from the directory but still serves callers with old
    /// addresses. Each answer asks its caller to connect elsewhere.
    Departing,
    /// Idle connections are closed, and open requests may finish.
    Closing,
    /// The instance serves nobody; it notifies its peers, and the process exits.
    Stopped,
}

impl Drain {
    /// Returns a channel that distributes the phase, beginning with
    /// [`Drain::Serving`].
    pub fn channel() -> (watch::Sender<Drain>, watch::Receiver<Drain>) {
        watch::channel(Drain::Serving)
    }

    /// Waits until idle connections are to be closed.
    pub async fn wait_for_closing(drain: &mut watch::Receiver<Drain>) {
        Drain::wait_for(drain, Drain::Closing).await;
    }

    /// Waits until open requests are cut off.
    pub async fn wait_for_stopped(drain: &mut watch::Receiver<Drain>) {
        Drain::wait_for(drain, Drain::Stopped).await;
    }

    /// Waits for a phase or a later one.
    ///
    /// The read guard on the channel's value is dropped before this returns. A guard
    /// held while a request finishes blocks the sender of the next phase, on the
    /// only thread that could finish the request: the process hangs until it is
    /// killed, and its peers keep reserving its share of each team's rate.
    async fn wait_for(drain: &mut watch::Receiver<Drain>, phase: Drain) {
        if drain.wait_for(|drain| *drain >= phase).await.is_err() {
            log::debug!("event=drain_without_teller");
        }
    }
}
