use serde::{Deserialize, Serialize};

/// An API key that authenticates a team. Only its digest is stored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Schema number of the record.
    pub schema: u32,
    /// Name of the team that the key belongs to.
    pub team: String,
    /// BLAKE3 digest of the key, in lowercase hexadecimal (64 digits).
    pub digest: String,
}

/// Returns the value of [`Key::digest`] for a key.
pub fn digest_of(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}
