/// A source of time.
pub trait Clock: Send + Sync + 'static {
    /// Returns milliseconds of a monotonic clock that counts pauses of the
    /// process.
    fn now_ms(&self) -> u64;
    /// Returns milliseconds since the Unix epoch, for logs and reports only.
    fn wall_ms(&self) -> u64;
}
