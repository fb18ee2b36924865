use {
    crate::pool::EngineEntry,
    derive_more::{Display, FromStr},
    serde::{Deserialize, Serialize},
};

/// One software version of one service, as a hash of both names.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    FromStr,
)]
#[display("{_0}")]
pub struct EngineBuild(u64);

impl EngineBuild {
    /// Returns the build of a software version of a service; `None` if the version isn't
    /// known.
    pub fn new(service: &str, software: &str) -> Option<EngineBuild> {
        if software.is_empty() {
            return None;
        }
        let mut hasher = blake3::Hasher::new();
        // The length keeps `ab` and `c` apart from `a` and `bc`.
        hasher.update(&(service.len() as u64).to_le_bytes());
        hasher.update(service.as_bytes());
        hasher.update(software.as_bytes());
        let mut first = [0; 8];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Some(EngineBuild(u64::from_le_bytes(first)))
    }

    /// Returns the build that an engine's entry names, if it names one.
    pub fn of(entry: &EngineEntry) -> Option<EngineBuild> {
        EngineBuild::new(&entry.service, &entry.software)
    }
}
