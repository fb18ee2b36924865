use {
    crate::failure::Failure,
    error_stack::Report,
    mangowalk_core::{
        edge::{Platform, PlatformError},
        platform::{Object, ObjectKey, Precondition},
    },
    serde_json::Value,
};

/// Maximum number of times that a write is sent. It is sent again if its reply
/// was lost and it did not take effect.
const MAX_WRITE_ATTEMPTS: u32 = 2;

/// Reads one object; `None` if it doesn't exist.
///
/// # Errors
///
/// Fails if the platform can't be read.
pub(crate) fn read(
    platform: &dyn Platform,
    key: &ObjectKey,
) -> Result<Option<Object>, Report<Failure>> {
    platform
        .get(key)
        .map_err(|e| Report::new(Failure::from_platform_error(&e)))
}

/// Writes one object over `expected_version`, 0 for an object that doesn't
/// exist yet, and returns its new version.
///
/// The condition on the version prevents two operators who read the same
/// version from overwriting each other's changes unnoticed: the platform
/// accepts one of the two writes, and the other fails with a conflict.
///
/// # Errors
///
/// Returns [`Failure::Conflict`] if the platform holds another version, and
/// [`Failure::UnknownOutcome`] if a reply was lost and it can't be found out
/// whether the write took effect.
pub(crate) fn put(
    platform: &dyn Platform,
    key: &ObjectKey,
    expected_version: u64,
    body: &Value,
) -> Result<u64, Report<Failure>> {
    let send = || platform.put(key, precondition(expected_version), body);
    let written_version =
        |stored: Option<&Object>| stored.filter(|o| o.body == *body).map(|o| o.version);
    write_until_known(platform, key, expected_version, &send, &written_version)
}

/// Deletes one object at `expected_version`. Returns the version of its
/// tombstone, or `expected_version` if the reply was lost and the object is
/// gone.
///
/// # Errors
///
/// As [`put`].
pub(crate) fn delete(
    platform: &dyn Platform,
    key: &ObjectKey,
    expected_version: u64,
) -> Result<u64, Report<Failure>> {
    let send = || platform.delete(key, precondition(expected_version));
    let deleted_version = |stored: Option<&Object>| stored.is_none().then_some(expected_version);
    write_until_known(platform, key, expected_version, &send, &deleted_version)
}

/// Returns the platform's condition for an expected version, 0 for an object
/// that doesn't exist.
fn precondition(expected_version: u64) -> Precondition {
    match expected_version {
        0 => Precondition::Absent,
        version => Precondition::Version(version),
    }
}

/// Sends a conditional write until its outcome is known.
/// `committed_version` returns the version of the write if the stored object
/// shows that it took effect.
///
/// The reply to a write can be lost after the write took effect. A retry
/// without a read would then report a conflict with the client's own write, so
/// the object is read back and compared first.
fn write_until_known(
    platform: &dyn Platform,
    key: &ObjectKey,
    expected_version: u64,
    send: &dyn Fn() -> Result<u64, PlatformError>,
    committed_version: &dyn Fn(Option<&Object>) -> Option<u64>,
) -> Result<u64, Report<Failure>> {
    let unknown_outcome = || Report::new(Failure::UnknownOutcome { key: key.clone() });
    let mut reply_was_lost = false;
    for _ in 0..MAX_WRITE_ATTEMPTS {
        match send() {
            Ok(version) => return Ok(version),
            Err(PlatformError::Conflict { version }) if !reply_was_lost => {
                return Err(conflict(key, version));
            }
            Err(PlatformError::Conflict { .. } | PlatformError::Lost) => {}
            Err(error) if reply_was_lost => return Err(unknown_outcome().attach(error.to_string())),
            Err(error) => return Err(Report::new(Failure::from_platform_error(&error))),
        }
        reply_was_lost = true;
        let stored = platform.get(key).map_err(|_| unknown_outcome())?;
        if let Some(version) = committed_version(stored.as_ref()) {
            return Ok(version);
        }
        let version = stored.map_or(0, |o| o.version);
        if version != expected_version {
            return Err(conflict(key, version));
        }
    }
    Err(unknown_outcome())
}

fn conflict(key: &ObjectKey, version: u64) -> Report<Failure> {
    Report::new(Failure::Conflict {
        key: key.clone(),
        version,
    })
}
