/// Cost estimates and bounds of placement. Costs in microseconds are per block.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementSettings {
    /// Cost of computing a block that is not cached.
    pub miss_us: f64,
    /// Cost of a block that the engine finds in its cache.
    pub hit_us: f64,
    /// Cost of importing a block from the KV cache store; `None` if the engines
    /// do not support imports.
    pub import_us: Option<f64>,
    /// Time to first token of a request that waits for nothing and whose whole
    /// prompt is cached.
    pub base_ms: f64,
    /// Round-trip time to an engine in another failure domain.
    pub other_domain_ms: f64,
    /// Number of instances that share the engines.
    pub instances: u32,
    /// Maximum number of homes of one prefix.
    pub max_homes: u32,
    /// Share of the prefill time of one engine that one prefix may use before
    /// it gets another home.
    pub max_load_per_home: f64,
    /// Capacity of the table of hot prefixes, in entries.
    pub table_entries: usize,
    /// Maximum number of engines whose cache events are read in full; at most
    /// 64.
    pub max_indexed_engines: usize,
    /// Requests of this instance that may queue inside an engine with many
    /// slots, so that no slot idles between the end of one request and the
    /// arrival of the next.
    pub max_queued_in_engine: u32,
}

impl Default for PlacementSettings {
    fn default() -> PlacementSettings {
        PlacementSettings {
            miss_us: 2_000.0,
            hit_us: 10.0,
            import_us: None,
            base_ms: 5.0,
            other_domain_ms: 2.0,
            instances: 1,
            max_homes: 64,
            max_load_per_home: 0.35,
            table_entries: 16_384,
            max_indexed_engines: 32,
            max_queued_in_engine: 1,
        }
    }
}
