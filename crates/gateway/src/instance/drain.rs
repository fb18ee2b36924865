use tokio::sync::watch;

/// How far the stop of an instance is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Drain {
    /// It serves.
    Serving,
    /// It is out of the addresses, but callers still come who keep old ones;
    /// each is told to connect elsewhere with the answer it gets.
    Departing,
    /// Idle connections are closed, open requests end.
    Closing,
    /// Nothing is open; peers are told, and the process ends.
    Stopped,
}

impl Drain {
    /// Returns the ends by which parts tell and learn how far the stop is.
    pub fn channel() -> (watch::Sender<Drain>, watch::Receiver<Drain>) {
        watch::channel(Drain::Serving)
    }

    /// Waits until idle connections are to be closed.
    ///
    /// The guard that the channel gives on its value is dropped here. Held on,
    /// while a request ends, it kept the next step of the stop waiting on the one
    /// thread that could end the request: the process hung until it was killed,
    /// and its peers went on setting aside its part of each team's rate.
    pub async fn wait_for_closing(drain: &mut watch::Receiver<Drain>) {
        if drain
            .wait_for(|drain| *drain >= Drain::Closing)
            .await
            .is_err()
        {
            log::debug!("event=drain_without_teller");
        }
    }
}
