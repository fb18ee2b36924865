/// Source of the current time.
pub trait Clock: Send + Sync + 'static {
    /// Returns the time of a monotonic clock in milliseconds. The clock also
    /// advances while the process is paused.
    fn now_ms(&self) -> u64;
    /// Returns milliseconds since the Unix epoch, for logs and reports only.
    fn wall_ms(&self) -> u64;
}
