use {
    super::Controller,
    crate::board::Board,
    log::{info, warn},
    mangowalk_core::{
        edge::{Edges, Platform, PlatformError},
        platform::{Expect, Object, ObjectKey},
        status::{RecordStatus, RefusedRecord},
    },
    rand::Rng,
    std::{collections::HashMap, marker::PhantomData},
};

/// Pause between two looks at the records.
const PERIOD_MS: u64 = 1_000;

/// Longest time that an instance lets others go first. All refuse a record at
/// the same moment; at 350 instances every one of them would write its status,
/// and the platform takes a few hundred writes a second.
const SPREAD_MS: u64 = 2_000;

/// Writes the status of records that can't be put in force.
pub struct RecordStatusWriter<E> {
    due: HashMap<ObjectKey, Due>,
    edges: PhantomData<fn() -> E>,
}

/// A record whose status this instance looks after.
struct Due {
    version: u64,
    at_ms: u64,
    done: bool,
}

impl<E> Default for RecordStatusWriter<E> {
    fn default() -> RecordStatusWriter<E> {
        RecordStatusWriter {
            due: HashMap::new(),
            edges: PhantomData,
        }
    }
}

impl<E: Edges> RecordStatusWriter<E> {
    /// Notes records that were refused since the last look.
    fn note(&mut self, refused: &[RefusedRecord], now_ms: u64) {
        for record in refused {
            let key = key(record);
            let known = self.due.get(&key);
            if known.is_none_or(|due| due.version < record.version) {
                let due = Due {
                    version: record.version,
                    at_ms: now_ms + rand::rng().random_range(0..SPREAD_MS),
                    done: false,
                };
                self.due.insert(key, due);
            }
        }
    }

    fn write_due(&mut self, edges: &E, board: &Board, refused: &[RefusedRecord], now_ms: u64) {
        let instance = board.identity.caller_address.to_string();
        for record in refused {
            let key = key(record);
            let due = self.due.get_mut(&key);
            if let Some(due) = due.filter(|due| !due.done && due.at_ms <= now_ms) {
                due.done = write(edges, &key, &record.status(&instance)).is_ok();
            }
        }
    }

    /// Removes the status of records that are no longer refused.
    fn clear(&mut self, edges: &E, refused: &[RefusedRecord]) {
        self.due.retain(|status, due| {
            let still = refused.iter().any(|record| key(record) == *status);
            still || remove(edges, status, due.version).is_err()
        });
    }
}

impl<E: Edges> Controller for RecordStatusWriter<E> {
    type Edges = E;

    const NAME: &'static str = "status";

    fn step(&mut self, edges: &E, board: &Board, now_ms: u64) -> u64 {
        let refused = board.config.read(RefusedRecord::of);
        self.note(&refused, now_ms);
        self.write_due(edges, board, &refused, now_ms);
        self.clear(edges, &refused);
        PERIOD_MS
    }
}

fn key(record: &RefusedRecord) -> ObjectKey {
    RecordStatus::key(&record.kind, &record.name)
}

/// Writes a status unless one of this version or a newer one is there.
fn write(edges: &impl Edges, key: &ObjectKey, status: &RecordStatus) -> Result<(), PlatformError> {
    let held = edges.platform().get(key)?;
    if held
        .as_ref()
        .is_some_and(|o| version_of(o) >= status.version)
    {
        return Ok(());
    }
    let expect = held.map_or(Expect::Absent, |o| Expect::Version(o.version));
    let body = serde_json::to_value(status).unwrap_or_default();
    match edges.platform().put(key, expect, &body) {
        Ok(_) => info!("status: Wrote that {} is refused.", key.name),
        // Another instance was first.
        Err(PlatformError::Conflict { .. }) => {}
        Err(error) => {
            warn!(
                "status: The status of {} was not written. {error}",
                key.name
            );
            return Err(error);
        }
    }
    Ok(())
}

/// Removes a status that speaks of this version or an older one.
fn remove(edges: &impl Edges, key: &ObjectKey, version: u64) -> Result<(), PlatformError> {
    let held = edges.platform().get(key)?;
    let Some(held) = held.filter(|o| version_of(o) <= version) else {
        return Ok(());
    };
    match edges.platform().delete(key, Expect::Version(held.version)) {
        Ok(_) | Err(PlatformError::Conflict { .. }) => Ok(()),
        Err(error) => Err(error),
    }
}

/// Returns the version of the record that a status speaks of.
fn version_of(status: &Object) -> u64 {
    status.body["version"].as_u64().unwrap_or(0)
}
