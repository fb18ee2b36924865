use {
    super::CallClient,
    crate::{clock::now_ms, instance::Instance},
    mangowalk_core::weights::NamedAt,
    mangowalk_platform::{
        Changes, Freshness, Kind, MemberRecord, Page, StoreError, Stored, decode_changes,
        decode_configuration, decode_engine, decode_newest_weights, decode_object, decode_page,
        encode_create, encode_replace,
    },
    std::{cell::Cell, future::pending, net::SocketAddr, rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// First and longest pause after a call that failed. Spread at random, so
/// that a herd that starts together doesn't call together.
const FIRST_PAUSE_MS: u64 = 100;
const LONGEST_PAUSE_MS: u64 = 800;

/// Time that an answer may take beyond the wait that it was asked for.
const ANSWER_MS: u64 = 700;

/// Status of a watch whose history is gone; the kind has to be read again.
const GONE: u16 = 410;

/// What follows one kind of objects.
trait Follower {
    const KIND: Kind;
    /// Pause after changes, in which further ones gather.
    fn gather_ms(&self) -> u64 {
        0
    }
    /// Takes over the whole list.
    fn replace(&self, objects: &[Stored]);
    /// Takes over one change.
    fn change(&self, name: &str, object: Option<&Stored>);
    /// Ends when peers know more than this instance's watch has told.
    async fn behind(&self) {
        pending().await
    }
}

/// Follows a kind: reads it whole, then waits for changes, and reads it
/// again when the history is gone, a call fails, or a peer knows more.
async fn follow<F: Follower>(instance: &Instance, store: &CallClient, follower: F) {
    loop {
        let revision = read_until_it_can(instance, store, &follower).await;
        instance
            .kinds_followed
            .set(instance.kinds_followed.get() + 1);
        watch(instance, store, &follower, revision).await;
        instance
            .kinds_followed
            .set(instance.kinds_followed.get() - 1);
    }
}

/// Reads a kind whole, as often as it takes, and returns the revision.
async fn read_until_it_can<F: Follower>(
    instance: &Instance,
    store: &CallClient,
    follower: &F,
) -> u64 {
    let mut pause_ms = FIRST_PAUSE_MS;
    let mut lost = false;
    loop {
        if let Some(revision) = read(instance, store, follower).await {
            if lost {
                instance.store_back(now_ms());
                log::warn!("event=store_regained kind={} revision={revision}", F::KIND);
            }
            return revision;
        }
        if !lost {
            lost = true;
            instance.store_lost();
            instance.counters.count("store_lost", "read");
            log::warn!("event=store_lost kind={}", F::KIND);
        }
        sleep(spread(pause_ms)).await;
        pause_ms = (pause_ms * 2).min(LONGEST_PAUSE_MS);
    }
}

/// Takes over changes for as long as the store tells them, and no peer knows
/// more.
async fn watch<F: Follower>(
    instance: &Instance,
    store: &CallClient,
    follower: &F,
    mut revision: u64,
) {
    loop {
        let changes = tokio::select! {
            changes = wait::<F>(instance, store, revision) => changes,
            () = follower.behind() => None,
        };
        let Some(changes) = changes else {
            return;
        };
        for (name, object) in &changes.changed {
            // A copy that lags may tell once more what was read before.
            let is_old = object
                .as_ref()
                .is_some_and(|object| object.revision <= revision);
            if !is_old {
                follower.change(name, object.as_ref());
            }
        }
        revision = revision.max(changes.revision);
        if !changes.changed.is_empty() && follower.gather_ms() > 0 {
            sleep(Duration::from_millis(follower.gather_ms())).await;
        }
    }
}

fn spread(pause_ms: u64) -> Duration {
    Duration::from_millis(pause_ms / 2 + rand::random_range(0..pause_ms))
}

async fn read<F: Follower>(instance: &Instance, store: &CallClient, follower: &F) -> Option<u64> {
    let mut objects = Vec::new();
    let mut revision = None;
    loop {
        let after = objects.last().map(|object: &Stored| object.name.clone());
        let call = Page::call(F::KIND, after.as_deref());
        let (status, body) = match store.call(&call, instance.settings.store_ms).await {
            Ok(answer) => answer,
            Err(error) => {
                log::info!("event=store_call_failed kind={} error=\"{error}\"", F::KIND);
                return None;
            }
        };
        if status != 200 {
            log::info!("event=store_refused kind={} status={status}", F::KIND);
            return None;
        }
        let page = decoded::<F, _>(decode_page(&body))?;
        // Changes between two pages are seen by the watch from the first on.
        revision = revision.or(Some(page.revision));
        let more = page.more && !page.objects.is_empty();
        objects.extend(page.objects);
        if !more {
            follower.replace(&objects);
            return revision;
        }
    }
}

/// Returns what was decoded. What can't be read is logged, and read again.
fn decoded<F: Follower, T>(result: Result<T, StoreError>) -> Option<T> {
    result
        .inspect_err(|error| {
            log::warn!("event=store_unreadable kind={} error=\"{error}\"", F::KIND)
        })
        .ok()
}

async fn wait<F: Follower>(
    instance: &Instance,
    store: &CallClient,
    revision: u64,
) -> Option<Changes> {
    let freshness = instance.freshness(now_ms());
    let wait_ms = match freshness {
        Freshness::Current => instance.settings.current_watch_ms,
        Freshness::MayLag => instance.settings.watch_ms,
    };
    let call = Changes::call(F::KIND, revision, wait_ms, freshness);
    match store.call(&call, wait_ms + ANSWER_MS).await {
        Ok((200, body)) => decoded::<F, _>(decode_changes(&body)),
        Ok((GONE, _)) => {
            log::info!("event=store_history_gone kind={}", F::KIND);
            None
        }
        Ok((status, _)) => {
            log::info!("event=store_refused kind={} status={status}", F::KIND);
            None
        }
        Err(error) => {
            log::info!("event=store_watch_lost kind={} error=\"{error}\"", F::KIND);
            None
        }
    }
}

struct ConfigurationFollower(Rc<Instance>);

impl Follower for ConfigurationFollower {
    const KIND: Kind = Kind::Configuration;

    fn replace(&self, objects: &[Stored]) {
        for object in objects {
            self.change(&object.name, Some(object));
        }
    }

    fn change(&self, name: &str, object: Option<&Stored>) {
        let Some(object) = object else {
            return;
        };
        match decode_configuration(&object.spec) {
            Ok(configuration) => self.0.apply(configuration, "store", now_ms()),
            Err(error) => log::warn!("event=configuration_refused name={name} error=\"{error}\""),
        }
    }

    async fn behind(&self) {
        let instance = &self.0;
        loop {
            instance.notes.configuration.notified().await;
            // All learn of it at about the same time; only a watch that has
            // fallen silent or lags needs a reading of its own.
            sleep(Duration::from_millis(instance.settings.peer_lead_ms)).await;
            if instance.is_behind(now_ms()) {
                return;
            }
        }
    }
}

struct WeightsFollower {
    instance: Rc<Instance>,
    /// Whether the kind was read before; what the first read brings may have
    /// been named at any time.
    has_read: Cell<bool>,
}

impl WeightsFollower {
    fn name(&self, name: &str, object: &Stored, at: NamedAt) {
        match decode_newest_weights(&object.spec) {
            Some(newest) => {
                self.instance
                    .name_weights(&newest.model, newest.version, at, "store");
            }
            None => log::warn!("event=weights_refused name={name}"),
        }
    }
}

impl Follower for WeightsFollower {
    const KIND: Kind = Kind::Weights;

    fn replace(&self, objects: &[Stored]) {
        let at = match self.has_read.replace(true) {
            true => NamedAt::Ago(0),
            false => NamedAt::Unknown,
        };
        for object in objects {
            self.name(&object.name, object, at);
        }
    }

    fn change(&self, name: &str, object: Option<&Stored>) {
        if let Some(object) = object {
            self.name(name, object, NamedAt::Ago(0));
        }
    }
}

struct EnginesFollower(Rc<Instance>);

impl EnginesFollower {
    fn unlist(&self, name: &str) {
        let now_ms = now_ms();
        let keep_until_ms = self.0.keep_missing_until_ms(now_ms);
        if self
            .0
            .engines
            .borrow_mut()
            .unlist(name, keep_until_ms, now_ms)
        {
            log::info!("event=engine_gone engine={name}");
            self.0.notes.heartbeat.notify_one();
        }
    }
}

impl Follower for EnginesFollower {
    const KIND: Kind = Kind::Engines;

    fn gather_ms(&self) -> u64 {
        self.0.settings.gather_ms
    }

    fn replace(&self, objects: &[Stored]) {
        let is_listed = |id: &str| objects.iter().any(|object| object.name == id);
        let unlisted = self.0.engines.borrow().unlisted(is_listed);
        for name in unlisted {
            self.unlist(&name);
        }
        for object in objects {
            self.change(&object.name, Some(object));
        }
        if !self.0.engines_known.replace(true) {
            log::info!("event=engines_known count={}", objects.len());
        }
        self.0.notes.orders.notify_one();
    }

    fn change(&self, name: &str, object: Option<&Stored>) {
        let Some(object) = object else {
            return self.unlist(name);
        };
        let mut engines = self.0.engines.borrow_mut();
        match decode_engine(name, &object.spec) {
            Ok(entry) => {
                let draining = entry.draining;
                if engines.list(entry) {
                    log::info!("event=engine_listed engine={name} draining={draining}");
                }
                if draining {
                    self.0.notes.heartbeat.notify_one();
                }
                self.0.notes.orders.notify_one();
            }
            Err(error) => {
                engines.refuse(name);
                log::warn!("event=engine_refused engine={name} error=\"{error}\"");
            }
        }
    }
}

/// Follows the operators' configuration.
pub async fn watch_configuration(instance: Rc<Instance>, store: Rc<CallClient>) {
    follow(&instance, &store, ConfigurationFollower(instance.clone())).await;
}

/// Follows the newest weights.
pub async fn watch_weights(instance: Rc<Instance>, store: Rc<CallClient>) {
    let follower = WeightsFollower {
        instance: instance.clone(),
        has_read: Cell::new(false),
    };
    follow(&instance, &store, follower).await;
}

/// Follows the list of engines.
pub async fn watch_engines(instance: Rc<Instance>, store: Rc<CallClient>) {
    follow(&instance, &store, EnginesFollower(instance.clone())).await;
}

/// Tells the store where this instance listens to its peers, and reads where
/// they do.
///
/// Each instance writes before it reads, so of two that start together at
/// least one finds the other, and its heartbeats make it known.
pub async fn register(instance: Rc<Instance>, store: Rc<CallClient>) {
    let mut pause_ms = FIRST_PAUSE_MS;
    while !write_and_read(&instance, &store).await {
        sleep(spread(pause_ms)).await;
        pause_ms = (pause_ms * 2).min(LONGEST_PAUSE_MS);
    }
}

async fn write_and_read(instance: &Instance, store: &CallClient) -> bool {
    let name = &instance.machine().name;
    let within_ms = instance.settings.store_ms;
    let record = MemberRecord {
        peer_address: instance.machine().peer_address,
    };
    let create = encode_create(Kind::Members, name, &record);
    match store.call(&create, within_ms).await {
        Ok((200 | 201, _)) => {}
        Ok((409, body)) => {
            if let Ok(before) = decode_object(&body) {
                let replace = encode_replace(Kind::Members, name, before.revision, &record);
                if !matches!(store.call(&replace, within_ms).await, Ok((200, _))) {
                    return false;
                }
            }
        }
        _ => return false,
    }
    let Ok((200, body)) = store
        .call(&Page::call(Kind::Members, None), within_ms)
        .await
    else {
        return false;
    };
    let Ok(page) = decode_page(&body) else {
        return false;
    };
    for object in &page.objects {
        if let Some(address) = peer_address(object) {
            try_peer(instance, address);
        }
    }
    instance.notes.heartbeat.notify_one();
    true
}

fn peer_address(object: &Stored) -> Option<SocketAddr> {
    let record: MemberRecord = serde_json::from_value(object.spec.clone()).ok()?;
    Some(record.peer_address)
}

fn try_peer(instance: &Instance, address: SocketAddr) {
    if address != instance.machine().peer_address {
        instance.members.borrow_mut().try_address(address, now_ms());
    }
}
