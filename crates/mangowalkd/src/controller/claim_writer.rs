use {
    super::Controller,
    crate::shared_state::{ClaimWrite, SharedState},
    log::{info, warn},
    mangowalk_core::{
        claim::{ClaimBody, EpochBody, MIN_EPOCH_MS},
        edge::{Clock, Edges, Platform, PlatformError},
        platform::{Object, ObjectKey, Precondition, system_kind},
    },
    std::{marker::PhantomData, time::Duration},
};

/// Maximum wait for a queued write. The step then ends, so that the controller
/// notices when the instance stops.
const MAX_WRITE_WAIT: Duration = Duration::from_millis(200);

/// Pause after a failed call.
const RETRY_MS: u64 = 1_000;

/// Maximum number of writes attempted during shutdown.
const MAX_SHUTDOWN_WRITES: usize = 1_024;

/// Writes the outcomes of claims, withdraws claims for which no request was
/// sent, and deletes expired claims, which no retry of their request can meet.
pub struct ClaimWriter<E> {
    next_epoch_ms: u64,
    edges: PhantomData<fn() -> E>,
}

impl<E> Default for ClaimWriter<E> {
    fn default() -> ClaimWriter<E> {
        ClaimWriter {
            next_epoch_ms: 0,
            edges: PhantomData,
        }
    }
}

impl<E: Edges> ClaimWriter<E> {
    /// Reads the epoch when that is due. If the epoch is over, writes the next one
    /// and deletes expired claims.
    fn check_epoch(&mut self, edges: &E, shared: &SharedState, now_ms: u64) {
        if now_ms < self.next_epoch_ms {
            return;
        }
        self.next_epoch_ms = now_ms + MIN_EPOCH_MS / 2 + rand::random_range(0..MIN_EPOCH_MS / 2);
        if let Err(error) = read_epoch(edges, shared) {
            warn!("claims: The epoch was not read. {error}");
            self.next_epoch_ms = now_ms + RETRY_MS * 5;
            return;
        }
        let now_ms = edges.clock().now_ms();
        let Some((version, body)) = shared.claims.epoch_tracker().next_epoch(now_ms) else {
            return;
        };
        let value = serde_json::to_value(body).unwrap_or_default();
        let written = edges
            .platform()
            .put(&epoch_key(), Precondition::Version(version), &value);
        // Only the instance that wrote the epoch deletes expired claims, so that
        // the fleet lists the claims once per epoch.
        if let Ok(version) = written {
            shared
                .claims
                .observe_epoch(version, body, edges.clock().now_ms());
            delete_expired(edges, shared);
        }
    }
}

impl<E: Edges> Controller for ClaimWriter<E> {
    type Edges = E;

    const NAME: &'static str = "claims";

    fn step(&mut self, edges: &E, shared: &SharedState, now_ms: u64) -> u64 {
        self.check_epoch(edges, shared, now_ms);
        let Some(write) = shared.claims.next(MAX_WRITE_WAIT) else {
            return 0;
        };
        let Some(remaining) = execute(edges, write) else {
            return 0;
        };
        shared.claims.requeue(remaining);
        RETRY_MS
    }
}

/// Writes the queued claim writes during shutdown. Stops at the first failure.
pub fn flush_claims<E: Edges>(edges: &E, shared: &SharedState) {
    for _ in 0..MAX_SHUTDOWN_WRITES {
        let Some(write) = shared.claims.next(Duration::ZERO) else {
            return;
        };
        if execute(edges, write).is_some() {
            warn!(
                "claims: {} outcomes were not written; callers that retry get the outcome unknown.",
                shared.claims.pending() + 1
            );
            return;
        }
    }
}

/// Performs a write, and returns what remains to be done of it.
fn execute<E: Edges>(edges: &E, write: ClaimWrite) -> Option<ClaimWrite> {
    let platform = edges.platform();
    let result = match &write {
        ClaimWrite::Settle { key, expect, body } => platform.put(key, *expect, body),
        ClaimWrite::Withdraw { key, expect } => platform.delete(key, *expect),
        ClaimWrite::WithdrawNonce {
            key,
            nonce,
            checks_left,
        } => {
            return match find_claim(edges, key, *nonce) {
                Ok(Some(expect)) => Some(ClaimWrite::Withdraw {
                    key: key.clone(),
                    expect,
                }),
                Ok(None) if *checks_left == 0 => None,
                Ok(None) => Some(ClaimWrite::WithdrawNonce {
                    key: key.clone(),
                    nonce: *nonce,
                    checks_left: checks_left - 1,
                }),
                Err(_) => Some(write),
            };
        }
    };
    // A conflict means that the claim has changed: an earlier attempt of this
    // write took effect and its reply was lost.
    match result {
        Ok(_) | Err(PlatformError::Conflict { .. }) => None,
        Err(_) => Some(write),
    }
}

/// Returns the condition under which to delete the claim with this nonce, or
/// `None` if it is not in the platform.
fn find_claim<E: Edges>(
    edges: &E,
    key: &ObjectKey,
    nonce: u64,
) -> Result<Option<Precondition>, PlatformError> {
    let object = edges.platform().get(key)?;
    let own = object.filter(|o| claim_body(o).is_some_and(|b| b.nonce == nonce));
    Ok(own.map(|o| Precondition::Version(o.version)))
}

/// Reads the current epoch, and creates the first one if there is none.
fn read_epoch<E: Edges>(edges: &E, shared: &SharedState) -> Result<(), PlatformError> {
    let platform = edges.platform();
    let (version, body) = match platform.get(&epoch_key())? {
        Some(object) => (
            object.version,
            serde_json::from_value(object.body).unwrap_or_default(),
        ),
        None => {
            let first = EpochBody {
                schema: 1,
                number: 1,
            };
            let value = serde_json::to_value(first).unwrap_or_default();
            (
                platform.put(&epoch_key(), Precondition::Absent, &value)?,
                first,
            )
        }
    };
    shared
        .claims
        .observe_epoch(version, body, edges.clock().now_ms());
    Ok(())
}

fn delete_expired<E: Edges>(edges: &E, shared: &SharedState) {
    let Ok(list) = edges.platform().list(&[system_kind::CLAIM]) else {
        return;
    };
    let epochs = shared.claims.epoch_tracker();
    let expired = list
        .objects
        .iter()
        .filter(|o| claim_body(o).is_some_and(|b| epochs.is_expired(b.epoch)));
    let mut deleted = 0;
    for object in expired {
        let expect = Precondition::Version(object.version);
        if edges.platform().delete(&object.key, expect).is_err() {
            break;
        }
        deleted += 1;
    }
    info!(
        "claims: Deleted {deleted} of {} claims.",
        list.objects.len()
    );
}

fn epoch_key() -> ObjectKey {
    ObjectKey::new(system_kind::CLAIM_EPOCH, "present")
}

fn claim_body(object: &Object) -> Option<ClaimBody> {
    serde_json::from_value(object.body.clone()).ok()
}
