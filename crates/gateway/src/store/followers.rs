use {
    super::{
        CallClient,
        follow::{Follower, follow, follow_on_demand},
        reading::Listing,
        refused::RefusedEntries,
    },
    crate::{
        clock::now_ms,
        instance::{Instance, hash},
    },
    mangowalk_core::{
        canary::CanaryOrder,
        confirmation::FollowedKind,
        pool::{EngineEntry, EngineTable, ListPart, NameForm},
        weights::PublishedAt,
    },
    mangowalk_platform::{
        ENGINE_NAME_SAMPLE, Freshness, ObjectKind, StoredObject, decode_configuration,
        decode_engine, decode_newest_weights, decode_rollout,
    },
    std::{
        cell::{Cell, RefCell},
        collections::HashSet,
        future::pending,
        rc::Rc,
        time::Duration,
    },
    tokio::time::sleep,
};

struct ConfigurationFollower {
    instance: Rc<Instance>,
    refused: RefusedEntries,
}

impl ConfigurationFollower {
    fn apply(&self, object: &StoredObject) {
        let instance = &self.instance;
        match decode_configuration(&object.spec) {
            Ok(configuration) => instance.apply_configuration(configuration, "store", now_ms()),
            Err(error) if self.refused.record(object, &instance.counters) => log::warn!(
                "event=configuration_refused name={} error=\"{error}\"",
                object.name
            ),
            Err(_) => {}
        }
    }
}

impl Follower for ConfigurationFollower {
    const KIND: ObjectKind = ObjectKind::Configuration;
    const CONFIRMED_KIND: Option<FollowedKind> = Some(FollowedKind::Configuration);

    fn refused(&self) -> &RefusedEntries {
        &self.refused
    }

    /// Its answers confirm the other kinds, too, while the store's revision stays the same.
    fn current_wait_ms(&self, instance: &Instance) -> u64 {
        instance.settings.confirmations.interval_ms()
    }

    fn replace_all(&self, listing: &Listing) {
        for object in &listing.objects {
            self.apply(object);
        }
    }

    fn apply_changes(&self, changes: &[(String, Option<StoredObject>)], _revision: u64) {
        for object in changes.iter().filter_map(|(_, object)| object.as_ref()) {
            self.apply(object);
        }
    }

    async fn wait_until_behind(&self) {
        let instance = &self.instance;
        loop {
            instance.wake_ups.configuration.notified().await;
            // All instances receive a change at about the same time. Only an
            // instance whose watch has stalled or lags has to read again.
            sleep(Duration::from_millis(instance.configuration_lead_ms())).await;
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
    refused: RefusedEntries,
}

impl WeightsFollower {
    fn record_version(&self, object: &StoredObject, at: PublishedAt) {
        match decode_newest_weights(&object.spec) {
            Some(newest) => {
                self.instance
                    .record_published_weights(&newest.model, newest.version, at, "store");
            }
            None if self.refused.record(object, &self.instance.counters) => {
                log::warn!("event=weights_refused name={}", object.name);
            }
            None => {}
        }
    }
}

impl Follower for WeightsFollower {
    const KIND: ObjectKind = ObjectKind::Weights;
    const CONFIRMED_KIND: Option<FollowedKind> = Some(FollowedKind::Weights);

    fn refused(&self) -> &RefusedEntries {
        &self.refused
    }

    fn replace_all(&self, listing: &Listing) {
        let gap_ms = self
            .last_answer_ms
            .get()
            .map(|last_answer_ms| now_ms() - last_answer_ms);
        let at = PublishedAt::after_gap(gap_ms);
        self.last_answer_ms.set(Some(now_ms()));
        for object in &listing.objects {
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

/// Interval at which the first reading of the engines waits for the configuration.
const CONFIGURATION_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which an instance checks whether it knows enough engines.
const PART_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

struct EnginesFollower {
    instance: Rc<Instance>,
    /// Part of the list that was read last.
    part: RefCell<ListPart>,
    /// Form of the names, from which the start of a part is drawn.
    name_form: RefCell<NameForm>,
    refused: RefusedEntries,
}

impl EnginesFollower {
    fn new(instance: Rc<Instance>) -> EnginesFollower {
        EnginesFollower {
            instance,
            part: RefCell::default(),
            name_form: RefCell::new(NameForm::of(ENGINE_NAME_SAMPLE)),
            refused: RefusedEntries::new(ObjectKind::Engines),
        }
    }

    /// Applies an entry, and returns whether the engine is leaving.
    fn apply_entry(&self, engines: &mut EngineTable, object: &StoredObject) -> bool {
        let (name, revision) = (&object.name, object.revision);
        match decode_engine(name, revision, &object.spec) {
            Ok(entry) => {
                let (draining, software) = (entry.draining, entry.software.clone());
                // The first reading is one line, not thousands.
                if engines.apply_entry(entry) && self.instance.is_engine_list_read.get() {
                    log::info!(
                        "event=engine_listed engine={name} software={software} draining={draining} revision={revision}"
                    );
                }
                draining
            }
            Err(error) => {
                engines.remove_unreadable(name);
                if self.refused.record(object, &self.instance.counters) {
                    log::warn!("event=engine_refused engine={name} error=\"{error}\"");
                }
                false
            }
        }
    }

    /// Removes an engine whose entry is gone, and returns whether it was removed now.
    fn remove_entry(
        &self,
        engines: &mut EngineTable,
        name: &str,
        revision: u64,
        now_ms: u64,
    ) -> bool {
        let (expired_entry_grace_ms, settled_ms) = (
            self.instance.settings.expired_entry_grace_ms,
            self.instance.machine().settled_ms,
        );
        let store_availability = &self.instance.store_availability;
        let keep_until_ms = store_availability.missing_entries_usable_until_ms(
            expired_entry_grace_ms,
            settled_ms,
            now_ms,
        );
        let is_removed = engines.remove_entry(name, revision, keep_until_ms, now_ms);
        if is_removed {
            log::info!("event=engine_gone engine={name} revision={revision}");
        } else if engines.get(name).is_some() {
            let grace_ms = keep_until_ms.unwrap_or(now_ms).saturating_sub(now_ms);
            log::info!(
                "event=engine_missing engine={name} revision={revision} grace_ms={grace_ms}"
            );
        }
        is_removed
    }

    /// Passes on what a change of the list means for others.
    fn apply_news(&self, is_leaving: bool, now_ms: u64) {
        let instance = &self.instance;
        instance.assign_software_roles(now_ms);
        instance.assign_kept_builds();
        instance.wake_ups.orders.notify_one();
        instance.wake_ups.builds.notify_one();
        instance.waiting.wake(now_ms);
        if is_leaving {
            instance.announce_store_news(now_ms);
        }
    }

    /// Returns whether this instance has to know all engines: others rely on what it
    /// reads, or it brings new weights to all of them.
    fn needs_all(&self) -> bool {
        let instance = &self.instance;
        instance.holds_lease.get() || instance.freshness(now_ms()) == Freshness::Current
    }

    /// Returns whether the part that was read doesn't suffice any more.
    fn needs_more(&self) -> bool {
        let part = self.part.borrow();
        if part.is_all() {
            return false;
        }
        let instance = &self.instance;
        let engines = instance.engines.borrow();
        let staying = engines.staying_engines(now_ms());
        let entries = staying.map(|engine| &engine.entry);
        let services = instance.routed_services();
        let settings = &instance.settings.list_part;
        self.needs_all() || settings.is_depleted(entries, &services)
    }

    fn begin_builds(&self, part: &ListPart, now_ms: u64) {
        let instance = &self.instance;
        let mut builds = instance.origins.listed_builds.borrow_mut();
        let settings = &instance.settings.origins;
        builds.begin_reading(part.is_all(), settings, now_ms);
        builds.record(&instance.engines.borrow(), settings, now_ms);
    }

    /// Records the builds of the listed engines, before and after each change: those of
    /// engines that leave are still of interest.
    fn record_builds(&self, now_ms: u64) {
        let instance = &self.instance;
        let mut builds = instance.origins.listed_builds.borrow_mut();
        let engines = instance.engines.borrow();
        builds.record(&engines, &instance.settings.origins, now_ms);
    }

    /// Learns the form of the names if it isn't the expected one.
    fn learn_name_form(&self, listing: &Listing) {
        let names = listing.objects.iter().map(|object| object.name.as_str());
        let mut form = self.name_form.borrow_mut();
        if !form.fits(names.clone()) {
            *form = NameForm::of(names);
        }
    }
}

impl Follower for EnginesFollower {
    const KIND: ObjectKind = ObjectKind::Engines;
    const CONFIRMED_KIND: Option<FollowedKind> = Some(FollowedKind::Engines);

    fn refused(&self) -> &RefusedEntries {
        &self.refused
    }

    fn batch_ms(&self) -> u64 {
        self.instance.settings.batch_ms
    }

    fn poll_interval_ms(&self) -> Option<u64> {
        self.instance.engine_poll_interval_ms(now_ms())
    }

    fn start(&self) -> Option<String> {
        let instance = &self.instance;
        let is_partial = instance.is_large_fleet() && !self.needs_all();
        let seed = hash(instance.machine().name.as_bytes());
        is_partial.then(|| self.name_form.borrow().draw(seed))
    }

    fn is_enough(&self, objects: &[StoredObject]) -> bool {
        let instance = &self.instance;
        let entries = objects.iter();
        let entries = entries.map(|object| decode_engine(&object.name, 0, &object.spec));
        let entries: Vec<EngineEntry> = entries.flatten().collect();
        let services = instance.routed_services();
        let instances = instance.members.borrow().expected() + 1;
        let settings = &instance.settings.list_part;
        settings.is_enough(&entries, &services, instances)
    }

    fn reading_freshness(&self) -> Freshness {
        match self.instance.is_large_fleet() {
            true => self.instance.freshness(now_ms()),
            false => Freshness::Current,
        }
    }

    fn replace_all(&self, listing: &Listing) {
        let now_ms = now_ms();
        let instance = &self.instance;
        self.learn_name_form(listing);
        self.begin_builds(&listing.part, now_ms);
        let mut engines = instance.engines.borrow_mut();
        let names = listing.objects.iter().map(|object| object.name.as_str());
        let listed: HashSet<&str> = names.collect();
        let mut is_news = false;
        for name in engines.missing_from(&listing.part, &listed) {
            is_news |= self.remove_entry(&mut engines, &name, listing.revision, now_ms);
        }
        engines.retain_part(&listing.part);
        for object in &listing.objects {
            is_news |= self.apply_entry(&mut engines, object);
        }
        engines.set_list_revision(listing.revision, now_ms);
        drop(engines);
        self.record_builds(now_ms);
        *self.part.borrow_mut() = listing.part.clone();
        let mut confirmations = instance.confirmations.borrow_mut();
        confirmations.set_knows_all_engines(listing.part.is_all());
        drop(confirmations);
        self.apply_news(is_news, now_ms);
        if !instance.is_engine_list_read.replace(true) {
            let (count, is_all) = (listing.objects.len(), listing.part.is_all());
            log::info!("event=engines_known count={count} all={is_all}");
        }
    }

    fn apply_changes(&self, changes: &[(String, Option<StoredObject>)], revision: u64) {
        let now_ms = now_ms();
        let part = self.part.borrow();
        self.record_builds(now_ms);
        let mut engines = self.instance.engines.borrow_mut();
        let mut is_news = false;
        for (name, object) in changes.iter().filter(|(name, _)| part.contains(name)) {
            is_news |= match object {
                Some(object) => self.apply_entry(&mut engines, object),
                None => self.remove_entry(&mut engines, name, revision, now_ms),
            };
        }
        engines.set_list_revision(revision, now_ms);
        drop(engines);
        self.record_builds(now_ms);
        if !changes.is_empty() {
            self.apply_news(is_news, now_ms);
        }
    }

    async fn wait_until_behind(&self) {
        loop {
            sleep(PART_CHECK_INTERVAL).await;
            if self.needs_more() {
                return;
            }
        }
    }
}

/// Time for which an engine may be held back, or an order have no directive,
/// before this instance reads the orders itself.
const UNKNOWN_ROLLOUT_MS: u64 = 800;

struct RolloutsFollower {
    instance: Rc<Instance>,
    refused: RefusedEntries,
}

impl RolloutsFollower {
    fn decode(&self, object: &StoredObject) -> Option<CanaryOrder> {
        let (name, revision) = (&object.name, object.revision);
        let order = decode_rollout(object).inspect_err(|error| {
            if self.refused.record(object, &self.instance.counters) {
                log::warn!(
                    "event=rollout_refused name={name} revision={revision} error=\"{error}\""
                );
            }
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

    fn refused(&self) -> &RefusedEntries {
        &self.refused
    }

    fn current_wait_ms(&self, instance: &Instance) -> u64 {
        instance.settings.max_current_watch_ms
    }

    fn replace_all(&self, listing: &Listing) {
        let objects = listing.objects.iter();
        let orders: Vec<CanaryOrder> = objects.filter_map(|object| self.decode(object)).collect();
        self.instance
            .replace_rollouts(&orders, listing.revision, now_ms());
    }

    fn apply_changes(&self, changes: &[(String, Option<StoredObject>)], revision: u64) {
        let now_ms = now_ms();
        for (name, object) in changes {
            match object {
                Some(object) => {
                    if let Some(order) = self.decode(object) {
                        self.instance.update_rollout(&order, now_ms);
                    }
                }
                None => self.instance.withdraw_rollout(name, revision, now_ms),
            }
        }
        self.instance.confirm_rollouts(revision, now_ms);
    }

    /// The deciders always follow the orders. Others hear of them from these, and read
    /// them at their start and when they don't.
    fn is_needed(&self) -> bool {
        let now_ms = now_ms();
        let software = self.instance.software.borrow();
        software.limits().is_some()
            && (software.view_revision().is_none()
                || self.instance.freshness(now_ms) == Freshness::Current
                || software.needs_view(UNKNOWN_ROLLOUT_MS, now_ms))
    }
}

/// Follows operators' orders to replace a service's software; never returns.
pub async fn watch_rollouts(instance: Rc<Instance>, store: Rc<CallClient>) {
    if instance.machine().exposure.is_none() {
        return pending().await;
    }
    let follower = RolloutsFollower {
        instance: instance.clone(),
        refused: RefusedEntries::new(ObjectKind::Rollouts),
    };
    follow_on_demand(&instance, &store, follower).await;
}

/// Follows the operators' configuration; never returns.
pub async fn watch_configuration(instance: Rc<Instance>, store: Rc<CallClient>) {
    let follower = ConfigurationFollower {
        instance: instance.clone(),
        refused: RefusedEntries::new(ObjectKind::Configuration),
    };
    follow(&instance, &store, follower).await;
}

/// Follows the newest weights of each model; never returns.
pub async fn watch_weights(instance: Rc<Instance>, store: Rc<CallClient>) {
    let follower = WeightsFollower {
        instance: instance.clone(),
        last_answer_ms: Cell::new(None),
        refused: RefusedEntries::new(ObjectKind::Weights),
    };
    follow(&instance, &store, follower).await;
}

/// Follows the engine list; never returns. Which part of a long list is enough depends
/// on the services of the configuration.
pub async fn watch_engines(instance: Rc<Instance>, store: Rc<CallClient>) {
    while instance.routes.borrow().version() == 0 {
        sleep(CONFIGURATION_CHECK_INTERVAL).await;
    }
    let follower = EnginesFollower::new(instance.clone());
    follow(&instance, &store, follower).await;
}
