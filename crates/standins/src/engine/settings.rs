/// Behaviour of an engine without faults.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Model served after a start.
    pub model: String,
    /// Weights version served after a start.
    pub version: String,
    /// Version of its program.
    pub software: String,
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Time to compute one block that is not cached, in microseconds.
    pub miss_us: u64,
    /// Time between two tokens of an answer, in microseconds.
    pub token_us: u64,
    /// Time to load weights, in milliseconds.
    pub load_ms: u64,
    /// Whether orders with a fencing number below the highest one received are
    /// refused.
    pub checks_fencing: bool,
}

impl Default for EngineSettings {
    fn default() -> EngineSettings {
        EngineSettings {
            model: "drafting".to_owned(),
            version: "v1".to_owned(),
            software: "1".to_owned(),
            slots: 8,
            cache_blocks: 4_096,
            miss_us: 2_000,
            token_us: 4_000,
            load_ms: 400,
            checks_fencing: true,
        }
    }
}
