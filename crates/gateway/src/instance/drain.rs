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
}
