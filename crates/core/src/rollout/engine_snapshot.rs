/// State of one engine of the model, as last read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineSnapshot<'a> {
    /// Name of the engine's record.
    pub name: &'a str,
    /// Weights version that it serves; `None` if it does not answer, empty if it
    /// serves another model.
    pub version: Option<&'a str>,
    /// Incarnation of the engine, a number drawn at its start.
    pub incarnation: u64,
    /// Whether it is loading weights.
    pub loading: bool,
    /// Number of requests that run or wait at the engine.
    pub open_requests: u32,
    /// Whether it rejects orders with an outdated fencing number.
    pub checks_fencing: bool,
    /// Whether it has a drain mark.
    pub drained: bool,
    /// Whether it is marked as departing.
    pub departing: bool,
}

impl EngineSnapshot<'_> {
    /// Returns whether it receives new requests of callers.
    pub fn serves(&self) -> bool {
        let has_model = self.version.is_some_and(|v| !v.is_empty());
        has_model && !self.loading && !self.drained && !self.departing
    }
}
