/// How an engine behaves.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Model served at start.
    pub model: String,
    /// Weights version served at start.
    pub version: String,
    /// Requests that run at once.
    pub slots: u32,
    /// Blocks that the cache holds.
    pub cache_blocks: usize,
    /// Time to compute one missed block, in microseconds.
    pub miss_us: u64,
    /// Time between two tokens, in microseconds.
    pub token_us: u64,
    /// Time to load weights, in milliseconds.
    pub load_ms: u64,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
}

impl Default for EngineSettings {
    fn default() -> EngineSettings {
        EngineSettings {
            model: "drafting".to_owned(),
            version: "v1".to_owned(),
            slots: 8,
            cache_blocks: 4_096,
            miss_us: 2_000,
            token_us: 4_000,
            load_ms: 400,
            checks_fencing: true,
        }
    }
}
