/// Next action of the lease holder. Every action may be repeated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action<'a> {
    /// Set the engine's drain mark, so that no instance sends it new requests.
    Drain {
        /// Name of the engine.
        engine: &'a str,
    },
    /// Order the engine to load a version.
    Order {
        /// Name of the engine.
        engine: &'a str,
        /// Version to load.
        version: String,
    },
    /// Have the engine generate a token with a version.
    Probe {
        /// Name of the engine.
        engine: &'a str,
        /// Version that has to answer.
        version: String,
    },
    /// Remove the engine's drain mark.
    Undrain {
        /// Name of the engine.
        engine: &'a str,
    },
}
