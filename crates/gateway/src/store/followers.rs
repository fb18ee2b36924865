use {
    super::{
        CallClient,
        follow::{Follower, follow, follow_on_demand},
    },
    crate::{clock::now_ms, instance::Instance},
    mangowalk_core::{canary::CanaryOrder, pool::EngineTable, weights::PublishedAt},
    mangowalk_platform::{
        Freshness, ObjectKind, StoredObject, decode_configuration, decode_engine,
        decode_newest_weights, decode_rollout,
    },
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::time::sleep,
};

struct ConfigurationFollower(Rc<Instance>);

impl ConfigurationFollower {
    fn apply(&self, object: &StoredObject) {
        match decode_configuration(&object.spec) {
            Ok(configuration) => self.0.apply_configuration(configuration, "store", now_ms()),
            Err(error) => log::warn!(
                "event=configuration_refused name={} error=\"{error}\"",
                object.name
            ),
        }
    }
}

impl Follower for ConfigurationFollower {
    const KIND: ObjectKind = ObjectKind::Configuration;

    fn replace_all(&self, objects: &[StoredObject], _revision: u64) {
        for object in objects {
            self.apply(object);
        }
    }

    fn apply_changes(&self, changes: &[(String, Option<StoredObject>)], _revision: u64) {
        for object in changes.iter().filter_map(|(_, object)| object.as_ref()) {
            self.apply(object);
        }
    }

    async fn wait_until_behind(&self) {
        let instance = &self.0;
        loop {
            instance.wake_ups.configuration.notified().await;
            // All instances receive a change at about the same time. Only an
            // instance whose watch has stalled or lags has to read again.
            sleep(Duration::from_millis(instance.settings.peer_lead_ms)).await;
            if instance.is_behind(now_ms()) {
                return;
            }
        }
    }
}

struct WeightsFollower {
    instance: Rc<Instance>,
    /// When the store last reported a change of the kind, or that there was
    /// none.
    last_answer_ms: Cell<Option<u64>>,
}

impl WeightsFollower {
    fn record_version(&self, object: &StoredObject, at: PublishedAt) {
        match decode_newest_weights(&object.spec) {
            Some(newest) => {
                self.instance
                    .record_published_weights(&newest.model, newest.version, at, "store");
            }
            None => log::warn!("event=weights_refused name={}", object.name),
        }
    }
}

impl Follower for WeightsFollower {
    const KIND: ObjectKind = ObjectKind::Weights;

    fn replace_all(&self, objects: &[StoredObject], _revision: u64) {
        let gap_ms = self
            .last_answer_ms
            .get()
            .map(|last_answer_ms| now_ms() - last_answer_ms);
        let at = PublishedAt::after_gap(gap_ms);
        self.last_answer_ms.set(Some(now_ms()));
        for object in objects {
            self.record_version(object, at);
        }
    }

    fn apply_changes(&self, changes: &[(String, Option<StoredObject>)], _revision: u64) {
        self.last_answer_ms.set(Some(now_ms()));
        for object in changes.iter().filter_map(|(_, object)| object.as_ref()) {
            self.record_version(object, PublishedAt::Ago(0));
        }
    }
}

struct EnginesFollower(Rc<Instance>);

impl EnginesFollower {
    fn apply_entry(&self, engines: &mut EngineTable, object: &StoredObject) {
        let (name, revision) = (&object.name, object.revision);
        match decode_engine(name, revision, &object.spec) {
            Ok(entry) => {
                let draining = entry.draining;
                if engines.apply_entry(entry) {
                    log::info!(
                        "event=engine_listed engine={name} draining={draining} revision={revision}"
                    );
                }
                if draining {
                    self.0.wake_ups.heartbeat.notify_one();
                }
            }
            Err(error) => {
                engines.remove_unreadable(name);
                log::warn!("event=engine_refused engine={name} error=\"{error}\"");
            }
        }
    }

    fn remove_entry(&self, engines: &mut EngineTable, name: &str, revision: u64, now_ms: u64) {
        let (expired_entry_grace_ms, settled_ms) = (
            self.0.settings.expired_entry_grace_ms,
            self.0.machine().settled_ms,
        );
        let store_availability = &self.0.store_availability;
        let keep_until_ms = store_availability.missing_entries_usable_until_ms(
            expired_entry_grace_ms,
            settled_ms,
            now_ms,
        );
        if engines.remove_entry(name, revision, keep_until_ms, now_ms) {
            log::info!("event=engine_gone engine={name} revision={revision}");
            self.0.wake_ups.heartbeat.notify_one();
        } else if engines.get(name).is_some() {
            let grace_ms = keep_until_ms.unwrap_or(now_ms).saturating_sub(now_ms);
            log::info!(
                "event=engine_missing engine={name} revision={revision} grace_ms={grace_ms}"
            );
        }
    }
}

impl Follower for EnginesFollower {
    const KIND: ObjectKind = ObjectKind::Engines;

    fn batch_ms(&self) -> u64 {
        self.0.settings.batch_ms
    }

    fn replace_all(&self, objects: &[StoredObject], revision: u64) {
        let now_ms = now_ms();
        let mut engines = self.0.engines.borrow_mut();
        let is_listed = |id: &str| objects.iter().any(|object| object.name == id);
        for name in engines.missing_from(is_listed) {
            self.remove_entry(&mut engines, &name, revision, now_ms);
        }
        for object in objects {
            self.apply_entry(&mut engines, object);
        }
        engines.set_list_revision(revision, now_ms);
        drop(engines);
        self.0.assign_software_roles(now_ms);
        if !self.0.is_engine_list_read.replace(true) {
            log::info!("event=engines_known count={}", objects.len());
        }
        self.0.wake_ups.orders.notify_one();
    }

    fn apply_changes(&self, changes: &[(String, Option<StoredObject>)], revision: u64) {
        let now_ms = now_ms();
        let mut engines = self.0.engines.borrow_mut();
        for (name, object) in changes {
            match object {
                Some(object) => self.apply_entry(&mut engines, object),
                None => self.remove_entry(&mut engines, name, revision, now_ms),
            }
        }
        engines.set_list_revision(revision, now_ms);
        drop(engines);
        if !changes.is_empty() {
            self.0.assign_software_roles(now_ms);
            self.0.wake_ups.orders.notify_one();
        }
    }
}

/// Time for which an engine may be held back, or an order have no directive,
/// before this instance reads the orders itself.
const UNKNOWN_ROLLOUT_MS: u64 = 800;

struct RolloutsFollower(Rc<Instance>);

impl RolloutsFollower {
    fn decode(&self, object: &StoredObject) -> Option<CanaryOrder> {
        let (name, revision) = (&object.name, object.revision);
        let order = decode_rollout(object).inspect_err(|error| {
            log::warn!("event=rollout_refused name={name} revision={revision} error=\"{error}\"")
        });
        let order = order.ok()?;
        log::info!(
            "event=rollout order={} name={name} revision={revision} duration_ms={:?} started={} \
             outcome={:?}",
            order.id,
            order.duration_ms,
            order.is_started,
            order.outcome,
        );
        Some(order)
    }
}

impl Follower for RolloutsFollower {
    const KIND: ObjectKind = ObjectKind::Rollouts;

    fn replace_all(&self, objects: &[StoredObject], revision: u64) {
        let orders = objects.iter().filter_map(|object| self.decode(object));
        let orders: Vec<CanaryOrder> = orders.collect();
        self.0.replace_rollouts(&orders, revision, now_ms());
    }

    fn apply_changes(&self, changes: &[(String, Option<StoredObject>)], revision: u64) {
        let now_ms = now_ms();
        for (name, object) in changes {
            match object {
                Some(object) => {
                    if let Some(order) = self.decode(object) {
                        self.0.update_rollout(&order, now_ms);
                    }
                }
                None => self.0.withdraw_rollout(name, revision, now_ms),
            }
        }
        self.0.confirm_rollouts(revision, now_ms);
    }

    /// The deciders always follow the orders. Others hear of them from these, and read
    /// them at their start and when they don't.
    fn is_needed(&self) -> bool {
        let now_ms = now_ms();
        let software = self.0.software.borrow();
        software.limits().is_some()
            && (software.view_revision().is_none()
                || self.0.freshness(now_ms) == Freshness::Current
                || software.needs_view(UNKNOWN_ROLLOUT_MS, now_ms))
    }
}

/// Follows operators' orders to replace a service's software; never returns.
pub async fn watch_rollouts(instance: Rc<Instance>, store: Rc<CallClient>) {
    follow_on_demand(&instance, &store, RolloutsFollower(instance.clone())).await;
}

/// Follows the operators' configuration; never returns.
pub async fn watch_configuration(instance: Rc<Instance>, store: Rc<CallClient>) {
    follow(&instance, &store, ConfigurationFollower(instance.clone())).await;
}

/// Follows the newest weights of each model; never returns.
pub async fn watch_weights(instance: Rc<Instance>, store: Rc<CallClient>) {
    let follower = WeightsFollower {
        instance: instance.clone(),
        last_answer_ms: Cell::new(None),
    };
    follow(&instance, &store, follower).await;
}

/// Follows the engine list; never returns.
pub async fn watch_engines(instance: Rc<Instance>, store: Rc<CallClient>) {
    follow(&instance, &store, EnginesFollower(instance.clone())).await;
}
