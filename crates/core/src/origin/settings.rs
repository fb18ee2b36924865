/// How long and where records of streams are kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OriginSettings {
    /// Number of peers that are told where a stream began, which bounds how many instances
    /// may be killed at once without its being forgotten.
    pub told_peers: usize,
    /// Number of peers that are asked for a record. More than are told, as instances that
    /// have started since may rank before those.
    pub asked_peers: usize,
    /// Time for which a record is kept, which bounds when a caller can come back.
    pub keep_ms: u64,
    /// Maximum number of records, of which the oldest are dropped.
    pub max_records: usize,
    /// Time without another build in the engine list after which a service is known to
    /// have had one build only since any stream that is still taken up began.
    pub single_build_ms: u64,
    /// Longest time without an answer of the store after which the engine list may have
    /// missed engines that came and left.
    pub max_list_gap_ms: u64,
    /// Time after which a question is repeated, as datagrams may be lost.
    pub ask_again_ms: u64,
    /// Time after which peers that haven't answered are no longer waited for.
    pub ask_timeout_ms: u64,
    /// Number of peers that are asked to read the store.
    pub reading_peers: usize,
    /// Time after which peers are asked to read the store, where this instance's own reading
    /// hasn't been answered.
    pub own_reading_ms: u64,
    /// Time after which a reading of the store is given up. An instance of a large fleet waits
    /// a millisecond longer for each instance, as their readings are spread by as much.
    pub reading_timeout_ms: u64,
    /// Least time between two readings of an instance. All requests that arrive in between
    /// share one.
    pub reading_interval_ms: u64,
}

impl Default for OriginSettings {
    fn default() -> OriginSettings {
        OriginSettings {
            told_peers: 3,
            asked_peers: 5,
            keep_ms: 60_000,
            max_records: 16_384,
            single_build_ms: 30_000,
            max_list_gap_ms: 3_000,
            ask_again_ms: 40,
            ask_timeout_ms: 150,
            reading_peers: 3,
            own_reading_ms: 150,
            reading_timeout_ms: 500,
            reading_interval_ms: 20,
        }
    }
}
