/// What the decision weighs. Figures in microseconds are costs of one block.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementSettings {
    /// Cost of computing a missed block until an engine's answers tell.
    pub miss_us: f64,
    /// Cost of a block that the engine finds in its cache.
    pub hit_us: f64,
    /// Cost of a block imported from the store of kept pieces; none where
    /// the engines offer no import.
    pub import_us: Option<f64>,
    /// Time to first token of a request that waits for nothing and finds its
    /// whole prompt.
    pub base_ms: f64,
    /// Distance to an engine in another failure domain, there and back.
    pub other_domain_ms: f64,
    /// Number of instances that share the engines.
    pub instances: u32,
    /// Most homes that one prefix spreads over.
    pub max_homes: u32,
    /// Share of an engine's prefill time that one prefix may ask for before
    /// it gets a further home.
    pub home_load: f64,
    /// Entries of the table of hot prefixes.
    pub table_entries: usize,
    /// Most engines whose cache events are read in full; at most 64.
    pub full_events_engines: usize,
    /// Requests of this instance that may wait inside an engine of many slots,
    /// so that no slot idles from a request's end until the next is there.
    pub queue_ahead: u32,
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
            home_load: 0.35,
            table_entries: 16_384,
            full_events_engines: 32,
            queue_ahead: 1,
        }
    }
}
