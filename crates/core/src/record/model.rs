use serde::{Deserialize, Serialize};

/// A model offered to callers. The model's name is the record's name.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Schema number of the record.
    pub schema: u32,
    /// Weights version that the engines should serve.
    pub version: String,
    /// Maximum number of engines that load weights at the same time.
    #[serde(default = "default_loads")]
    pub concurrent_loads: u32,
}

fn default_loads() -> u32 {
    2
}
