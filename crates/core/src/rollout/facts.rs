/// What is known of one engine of the model, as last read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineSnapshot<'a> {
    /// Name of the record.
    pub name: &'a str,
    /// Weights version of the model that it serves; none if it does not
    /// answer, empty if it serves another model.
    pub version: Option<&'a str>,
    /// Number drawn at its start.
    pub incarnation: u64,
    /// Whether it loads weights.
    pub loading: bool,
    /// Requests that run or wait in it.
    pub open_requests: u32,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Whether it has a drain mark.
    pub drained: bool,
    /// Whether it is to leave.
    pub departing: bool,
}

impl EngineSnapshot<'_> {
    /// Returns whether callers' requests are sent to it.
    pub fn serves(&self) -> bool {
        let has_model = self.version.is_some_and(|v| !v.is_empty());
        has_model && !self.loading && !self.drained && !self.departing
    }
}
