use {
    crate::failure::Failure,
    error_stack::Report,
    mangowalk_core::{
        edge::{Platform, PlatformError},
        platform::{Expect, Object, ObjectKey},
    },
    serde_json::Value,
};

/// Times that a write whose reply was lost before it took effect is sent.
const MAX_WRITE_ATTEMPTS: u32 = 2;

/// Reads one object.
pub(crate) fn read(
    platform: &dyn Platform,
    key: &ObjectKey,
) -> Result<Option<Object>, Report<Failure>> {
    platform
        .get(key)
        .map_err(|e| Report::new(Failure::from_platform_error(&e)))
}

/// Writes one object over the version that the operator saw, 0 for none, and
/// returns its new version.
///
/// Two operators who saw the same version would otherwise undo each other's
/// work unseen; the platform takes one of the two writes, and the other
/// operator is told.
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

/// Deletes one object at the version that the operator saw.
pub(crate) fn delete(
    platform: &dyn Platform,
    key: &ObjectKey,
    expected_version: u64,
) -> Result<u64, Report<Failure>> {
    let send = || platform.delete(key, precondition(expected_version));
    let deleted_version = |stored: Option<&Object>| stored.is_none().then_some(expected_version);
    write_until_known(platform, key, expected_version, &send, &deleted_version)
}

fn precondition(expected_version: u64) -> Expect {
    match expected_version {
        0 => Expect::Absent,
        version => Expect::Version(version),
    }
}

/// Sends a conditional write until its outcome is known.
///
/// The reply of a write can be lost after the write took effect. Sending it
/// again unread would then report a conflict with oneself, so the object is
/// read back first and compared.
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
