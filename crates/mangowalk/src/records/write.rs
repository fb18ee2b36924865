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
const MOST_WRITES: u32 = 2;

/// Reads one object.
pub(crate) fn read(
    platform: &dyn Platform,
    key: &ObjectKey,
) -> Result<Option<Object>, Report<Failure>> {
    platform
        .get(key)
        .map_err(|e| Report::new(Failure::of_read(&e)))
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
    seen: u64,
    body: &Value,
) -> Result<u64, Report<Failure>> {
    let send = || platform.put(key, expect(seen), body);
    let written = |held: Option<&Object>| held.filter(|o| o.body == *body).map(|o| o.version);
    settle(platform, key, seen, &send, &written)
}

/// Deletes one object at the version that the operator saw.
pub(crate) fn delete(
    platform: &dyn Platform,
    key: &ObjectKey,
    seen: u64,
) -> Result<u64, Report<Failure>> {
    let send = || platform.delete(key, expect(seen));
    let gone = |held: Option<&Object>| held.is_none().then_some(seen);
    settle(platform, key, seen, &send, &gone)
}

fn expect(seen: u64) -> Expect {
    match seen {
        0 => Expect::Absent,
        version => Expect::Version(version),
    }
}

/// Sends a conditional write until its outcome is known.
///
/// The reply of a write can be lost after the write took effect. Sending it
/// again unread would then report a conflict with oneself, so the object is
/// read back first and compared.
fn settle(
    platform: &dyn Platform,
    key: &ObjectKey,
    seen: u64,
    send: &dyn Fn() -> Result<u64, PlatformError>,
    done: &dyn Fn(Option<&Object>) -> Option<u64>,
) -> Result<u64, Report<Failure>> {
    let unknown = || Report::new(Failure::Unknown { key: key.clone() });
    let mut lost_before = false;
    for _ in 0..MOST_WRITES {
        match send() {
            Ok(version) => return Ok(version),
            Err(PlatformError::Conflict { version }) if !lost_before => {
                return Err(conflict(key, version));
            }
            Err(PlatformError::Conflict { .. } | PlatformError::Lost) => {}
            Err(error) if lost_before => return Err(unknown().attach(error.to_string())),
            Err(error) => return Err(Report::new(Failure::of_read(&error))),
        }
        lost_before = true;
        let held = platform.get(key).map_err(|_| unknown())?;
        if let Some(version) = done(held.as_ref()) {
            return Ok(version);
        }
        let version = held.map_or(0, |o| o.version);
        if version != seen {
            return Err(conflict(key, version));
        }
    }
    Err(unknown())
}

fn conflict(key: &ObjectKey, version: u64) -> Report<Failure> {
    Report::new(Failure::Conflict {
        key: key.clone(),
        version,
    })
}
