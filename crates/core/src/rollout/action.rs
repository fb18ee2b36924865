/// What the holder of the lease does next. Each may be repeated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action<'a> {
    /// Mark the engine, so that no instance sends it new work.
    Drain {
        /// Name of the engine.
        engine: &'a str,
    },
    /// Order the engine to load a version.
    Order {
        /// Name of the engine.
        engine: &'a str,
        /// Version.
        version: String,
    },
    /// Let the engine generate a token with a version.
    Probe {
        /// Name of the engine.
        engine: &'a str,
        /// Version.
        version: String,
    },
    /// Remove the mark.
    Undrain {
        /// Name of the engine.
        engine: &'a str,
    },
}
