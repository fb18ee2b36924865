use {
    crate::platform::{Expect, ListReply, Object, ObjectKey, WatchReply},
    derive_more::{Display, Error},
    serde_json::Value,
};

/// Why a call to the platform failed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum PlatformError {
    /// The condition of the write did not hold; nothing was written.
    #[display("The object is at version {version}, not as expected; read it and decide again.")]
    Conflict {
        /// Version that the platform holds, 0 if there is none.
        version: u64,
    },
    /// The platform was not reached; nothing was written.
    #[display("The platform was not reached; check --platform and the platform's health.")]
    Unreached,
    /// The call may or may not have taken effect.
    #[display("The platform's reply was lost; read the object back before going on.")]
    Lost,
    /// The platform refused the call; nothing was written.
    #[display("The platform refused with status {status}; check the request and its limits.")]
    Refused {
        /// HTTP status.
        status: u16,
    },
}

/// The platform's object API.
pub trait Platform: Send + Sync + 'static {
    /// Reads one object.
    ///
    /// # Errors
    ///
    /// Fails where the platform can't be reached.
    fn get(&self, key: &ObjectKey) -> Result<Option<Object>, PlatformError>;

    /// Writes one object and returns its new version.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Lost`] leaves open whether the write took effect.
    fn put(&self, key: &ObjectKey, expect: Expect, body: &Value) -> Result<u64, PlatformError>;

    /// Deletes one object and returns the version of its tombstone.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Lost`] leaves open whether the deletion took effect.
    fn delete(&self, key: &ObjectKey, expect: Expect) -> Result<u64, PlatformError>;

    /// Lists every object of the kinds.
    ///
    /// # Errors
    ///
    /// Fails where the platform can't be reached.
    fn list(&self, kinds: &[&str]) -> Result<ListReply, PlatformError>;

    /// Waits for writes of the kinds after a revision.
    ///
    /// # Errors
    ///
    /// Fails where the platform can't be reached.
    fn watch(
        &self,
        kinds: &[&str],
        after_revision: u64,
        wait_ms: u64,
    ) -> Result<WatchReply, PlatformError>;
}
