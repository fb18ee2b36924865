use {
    super::{
        Controller,
        lease_manager::{LeaseManager, is_candidate},
    },
    crate::shared_state::SharedState,
    log::warn,
    mangowalk_core::{
        edge::{Edges, Platform},
        platform::{ObjectKey, Precondition, system_kind},
        status::RecordStatus,
    },
    std::{collections::BTreeMap, marker::PhantomData},
};

/// Pause between two comparisons of the current and the written status.
const PERIOD_MS: u64 = 1_000;

/// Pause between two checks of an instance that doesn't hold the lease.
const IDLE_MS: u64 = 2_000;

/// Maximum number of writes in one step. A new fleet writes the status of all
/// its records, and the platform accepts several hundred writes per second from
/// all its users together.
const MAX_WRITES_PER_STEP: usize = 20;

/// Name of the lease that the writer of the status holds.
const LEASE: &str = "status";

/// Writes the status of each record (accepted or refused) to the platform. One
/// instance at a time writes, and only status that changed. While nothing changes,
/// it writes only its lease.
pub struct StatusWriter<E> {
    lease: LeaseManager,
    written: Option<BTreeMap<String, RecordStatus>>,
    edges: PhantomData<fn() -> E>,
}

impl<E> Default for StatusWriter<E> {
    fn default() -> StatusWriter<E> {
        StatusWriter {
            lease: LeaseManager::new(LEASE, 0),
            written: None,
            edges: PhantomData,
        }
    }
}

impl<E: Edges> StatusWriter<E> {
    /// Loads the status that earlier lease holders wrote, unless it is loaded.
    /// Returns `None` if the platform can't be read.
    fn read_written(&mut self, edges: &E) -> Option<()> {
        if self.written.is_none() {
            let list = edges.platform().list(&[system_kind::STATUS]).ok()?;
            let written = list.objects.into_iter().filter_map(|object| {
                let status = serde_json::from_value(object.body).ok()?;
                Some((object.key.name, status))
            });
            self.written = Some(written.collect());
        }
        Some(())
    }

    /// Writes status that changed and deletes that of withdrawn records. Returns
    /// `None` after a failed call.
    fn write_changes(&mut self, edges: &E, shared: &SharedState) -> Option<()> {
        self.read_written(edges)?;
        let wanted = shared.config.read(RecordStatus::of_all);
        let written = self.written.get_or_insert_default();
        let changed: Vec<(String, RecordStatus)> = wanted
            .iter()
            .filter(|(name, status)| status.replaces(written.get(*name)))
            .take(MAX_WRITES_PER_STEP)
            .map(|(name, status)| (name.clone(), status.clone()))
            .collect();
        for (name, status) in changed {
            let body = serde_json::to_value(&status).ok()?;
            edges
                .platform()
                .put(&key(&name), Precondition::Any, &body)
                .ok()?;
            written.insert(name, status);
        }
        let gone: Vec<String> = written
            .keys()
            .filter(|name| !wanted.contains_key(*name))
            .take(MAX_WRITES_PER_STEP)
            .cloned()
            .collect();
        for name in gone {
            edges
                .platform()
                .delete(&key(&name), Precondition::Any)
                .ok()?;
            written.remove(&name);
        }
        Some(())
    }
}

impl<E: Edges> Controller for StatusWriter<E> {
    type Edges = E;

    const NAME: &'static str = "status";

    fn step(&mut self, edges: &E, shared: &SharedState, _now_ms: u64) -> u64 {
        if !is_candidate(shared, LEASE) {
            self.lease.release(edges);
            self.written = None;
            return IDLE_MS;
        }
        if self.lease.maintain(edges, shared).is_none() {
            self.written = None;
            return IDLE_MS;
        }
        if self.write_changes(edges, shared).is_none() {
            warn!("status: The status could not be written to the platform; trying again.");
            self.written = None;
        }
        PERIOD_MS
    }

    fn shut_down(&mut self, edges: &E, _board: &SharedState) {
        self.lease.release(edges);
    }
}

fn key(name: &str) -> ObjectKey {
    ObjectKey::new(system_kind::STATUS, name)
}
