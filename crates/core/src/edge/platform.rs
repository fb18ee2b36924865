use {
    crate::platform::{ListReply, Object, ObjectKey, Precondition, WatchReply},
    derive_more::{Display, Error},
    serde_json::Value,
};

/// Why a call to the platform failed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum PlatformError {
    /// The condition of the write was not met; nothing was written.
    #[display("The object is at version {version}, not as expected; read it and decide again.")]
    Conflict {
        /// Current version of the object on the platform, 0 if it does not exist.
        version: u64,
    },
    /// The platform could not be reached; nothing was written.
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

/// Client of the platform's object API.
pub trait Platform: Send + Sync + 'static {
    /// Reads one object; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform can't be reached.
    fn get(&self, key: &ObjectKey) -> Result<Option<Object>, PlatformError>;

    /// Writes one object and returns its new version.
    ///
    /// # Errors
    ///
    /// After [`PlatformError::Lost`] the write may or may not have taken effect.
    fn put(
        &self,
        key: &ObjectKey,
        expect: Precondition,
        body: &Value,
    ) -> Result<u64, PlatformError>;

    /// Deletes one object and returns the version of its tombstone.
    ///
    /// # Errors
    ///
    /// After [`PlatformError::Lost`] the deletion may or may not have taken
    /// effect.
    fn delete(&self, key: &ObjectKey, expect: Precondition) -> Result<u64, PlatformError>;

    /// Lists all objects of the given kinds.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform can't be reached.
    fn list(&self, kinds: &[&str]) -> Result<ListReply, PlatformError>;

    /// Waits up to `wait_ms` milliseconds for writes to the given kinds after a
    /// revision, and returns them.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform can't be reached.
    fn watch(
        &self,
        kinds: &[&str],
        after_revision: u64,
        wait_ms: u64,
    ) -> Result<WatchReply, PlatformError>;
}
