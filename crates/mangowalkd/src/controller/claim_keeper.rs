use {
    super::Controller,
    crate::shared_state::{ClaimWrite, SharedState},
    log::{info, warn},
    mangowalk_core::{
        claim::{ClaimBody, EpochBody, MIN_EPOCH_MS},
        edge::{Clock, Edges, Platform, PlatformError},
        platform::{Expect, Object, ObjectKey, own_kind},
    },
    std::{marker::PhantomData, time::Duration},
};

/// Longest wait for a write to be done; then the step ends, and the instance
/// may stop.
const WAIT: Duration = Duration::from_millis(200);

/// Pause after a failed call.
const RETRY_MS: u64 = 1_000;

/// Writes tried at a shutdown.
const MOST_AT_SHUTDOWN: usize = 1_024;

/// Writes outcomes of claims, withdraws claims under which nothing was sent,
/// and deletes claims that no copy of their request can meet any more.
pub struct ClaimKeeper<E> {
    next_epoch_ms: u64,
    edges: PhantomData<fn() -> E>,
}

impl<E> Default for ClaimKeeper<E> {
    fn default() -> ClaimKeeper<E> {
        ClaimKeeper {
            next_epoch_ms: 0,
            edges: PhantomData,
        }
    }
}

impl<E: Edges> ClaimKeeper<E> {
    fn watch_epoch(&mut self, edges: &E, board: &SharedState, now_ms: u64) {
        if now_ms < self.next_epoch_ms {
            return;
        }
        self.next_epoch_ms = now_ms + MIN_EPOCH_MS / 2 + rand::random_range(0..MIN_EPOCH_MS / 2);
        if let Err(error) = read_epoch(edges, board) {
            warn!("claims: The epoch was not read. {error}");
            self.next_epoch_ms = now_ms + RETRY_MS * 5;
            return;
        }
        let now_ms = edges.clock().now_ms();
        let Some((version, body)) = board.claims.epoch_tracker().next_epoch(now_ms) else {
            return;
        };
        let value = serde_json::to_value(body).unwrap_or_default();
        let written = edges
            .platform()
            .put(&epoch_key(), Expect::Version(version), &value);
        // The one that wrote the epoch sweeps: one list in each epoch, fleet-wide.
        if let Ok(version) = written {
            board
                .claims
                .observe_epoch(version, body, edges.clock().now_ms());
            sweep(edges, board);
        }
    }
}

impl<E: Edges> Controller for ClaimKeeper<E> {
    type Edges = E;

    const NAME: &'static str = "claims";

    fn step(&mut self, edges: &E, board: &SharedState, now_ms: u64) -> u64 {
        self.watch_epoch(edges, board, now_ms);
        let Some(write) = board.claims.next(WAIT) else {
            return 0;
        };
        let Some(left) = send(edges, write) else {
            return 0;
        };
        board.claims.requeue(left);
        RETRY_MS
    }
}

/// Writes what still waits, at a shutdown. Stops at the first failure.
pub fn flush_claims<E: Edges>(edges: &E, board: &SharedState) {
    for _ in 0..MOST_AT_SHUTDOWN {
        let Some(write) = board.claims.next(Duration::ZERO) else {
            return;
        };
        if send(edges, write).is_some() {
            warn!(
                "claims: {} outcomes were not written; their callers are told that they are unknown.",
                board.claims.pending() + 1
            );
            return;
        }
    }
}

/// Returns what is still to be done of a write.
fn send<E: Edges>(edges: &E, write: ClaimWrite) -> Option<ClaimWrite> {
    let platform = edges.platform();
    let result = match &write {
        ClaimWrite::Settle { key, expect, body } => platform.put(key, *expect, body),
        ClaimWrite::Withdraw { key, expect } => platform.delete(key, *expect),
        ClaimWrite::WithdrawNonce {
            key,
            nonce,
            checks_left,
        } => {
            return match find(edges, key, *nonce) {
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
    // After a conflict the claim is not what this write was for: an earlier
    // try took effect and its reply was lost.
    match result {
        Ok(_) | Err(PlatformError::Conflict { .. }) => None,
        Err(_) => Some(write),
    }
}

/// Looks for a claim by its nonce, and returns the condition to delete it.
fn find<E: Edges>(edges: &E, key: &ObjectKey, nonce: u64) -> Result<Option<Expect>, PlatformError> {
    let object = edges.platform().get(key)?;
    let own = object.filter(|o| body_of(o).is_some_and(|b| b.nonce == nonce));
    Ok(own.map(|o| Expect::Version(o.version)))
}

fn read_epoch<E: Edges>(edges: &E, board: &SharedState) -> Result<(), PlatformError> {
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
            (platform.put(&epoch_key(), Expect::Absent, &value)?, first)
        }
    };
    board
        .claims
        .observe_epoch(version, body, edges.clock().now_ms());
    Ok(())
}

fn sweep<E: Edges>(edges: &E, board: &SharedState) {
    let Ok(list) = edges.platform().list(&[own_kind::CLAIM]) else {
        return;
    };
    let watch = board.claims.epoch_tracker();
    let over = list
        .objects
        .iter()
        .filter(|o| body_of(o).is_some_and(|b| watch.is_expired(b.epoch)));
    let mut deleted = 0;
    for object in over {
        let expect = Expect::Version(object.version);
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
    ObjectKey::new(own_kind::CLAIM_EPOCH, "present")
}

fn body_of(object: &Object) -> Option<ClaimBody> {
    serde_json::from_value(object.body.clone()).ok()
}
