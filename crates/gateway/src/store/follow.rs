use {
    super::{
        CallClient,
        backoff::Backoff,
        reading::{Listing, Reading},
        refused::RefusedEntries,
    },
    crate::{clock::now_ms, instance::Instance},
    mangowalk_core::confirmation::{FollowedKind, as_of_ms},
    mangowalk_platform::{
        Changes, Freshness, ObjectKind, Page, StoreError, StoredObject, decode_changes, decode_page,
    },
    std::{future::pending, time::Duration},
    tokio::time::sleep,
};

/// HTTP status of a watch whose history the store no longer has; the kind has
/// to be read again in full.
const GONE: u16 = 410;

/// Interval at which a kind that isn't followed is checked for whether it is needed.
const DEMAND_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Wait of a call that asks for the changes there are.
const MIN_WAIT_MS: u64 = 1;

/// Receives the objects of one kind and their changes.
pub(super) trait Follower {
    const KIND: ObjectKind;
    /// The kind as peers confirm it to each other; `None` if they don't.
    const CONFIRMED_KIND: Option<FollowedKind> = None;
    /// Returns the entries of the kind that can't be used.
    fn refused(&self) -> &RefusedEntries;
    /// Delay after changes, in which further changes are batched.
    fn batch_ms(&self) -> u64 {
        0
    }
    /// Returns the name after which a reading begins that ends when
    /// [`Follower::is_enough`] holds; `None` to read the whole list.
    fn start(&self) -> Option<String> {
        None
    }
    /// Returns whether the objects that were read from the start on are enough.
    fn is_enough(&self, _objects: &[StoredObject]) -> bool {
        false
    }
    /// Returns how fresh a full reading has to be.
    fn reading_freshness(&self) -> Freshness {
        Freshness::Current
    }
    /// Returns the interval at which changes are asked for, where that is better than to
    /// wait for them at the store.
    fn poll_interval_ms(&self) -> Option<u64> {
        None
    }
    /// Returns how long one watch with current state waits for changes.
    fn current_wait_ms(&self, instance: &Instance) -> u64 {
        instance.settings.max_watch_ms
    }
    /// Applies a reading of the kind.
    fn replace_all(&self, listing: &Listing);
    /// Applies changes up to a revision; there may be none. An object that no
    /// longer exists is `None`.
    fn apply_changes(&self, changes: &[(String, Option<StoredObject>)], revision: u64);
    /// Returns whether changes still have to be followed.
    fn is_needed(&self) -> bool {
        true
    }
    /// Completes when peers know a newer state than this instance's watch has
    /// reported.
    async fn wait_until_behind(&self) {
        pending().await
    }
}

/// Changes of a kind, and the time as of which there are no others; `None` if they may lag.
struct Answer {
    changes: Changes,
    as_of_ms: Option<u64>,
}

/// Follows one kind of objects: reads all of them, then watches for changes.
/// Reads all again when the store no longer has the history, a call fails or a
/// peer knows a newer state. Gives up a watch and asks for current changes when nobody has
/// confirmed for too long that the known ones are all there are.
pub(super) async fn follow<F: Follower>(instance: &Instance, store: &CallClient, follower: F) {
    loop {
        let revision = read_with_retries(instance, store, &follower).await;
        instance.store_availability.follow_started();
        watch(instance, store, &follower, revision).await;
        instance.store_availability.follow_ended();
    }
}

/// Follows one kind of objects like [`follow`], but only while its follower needs them.
pub(super) async fn follow_on_demand<F: Follower>(
    instance: &Instance,
    store: &CallClient,
    follower: F,
) {
    let mut backoff = Backoff::default();
    loop {
        while !follower.is_needed() {
            sleep(DEMAND_CHECK_INTERVAL).await;
        }
        let Some(revision) = read(instance, store, &follower).await else {
            backoff.wait().await;
            continue;
        };
        backoff = Backoff::default();
        if follower.is_needed() {
            watch(instance, store, &follower, revision).await;
        }
    }
}

/// Reads all objects of a kind, with retries until it succeeds, and returns the
/// revision.
async fn read_with_retries<F: Follower>(
    instance: &Instance,
    store: &CallClient,
    follower: &F,
) -> u64 {
    let mut backoff = Backoff::default();
    let mut lost = false;
    store.discard_idle();
    loop {
        let began_ms = now_ms();
        if let Some(revision) = read(instance, store, follower).await {
            instance.store_availability.read_answered(now_ms());
            if lost {
                log::warn!("event=store_regained kind={} revision={revision}", F::KIND);
            }
            return revision;
        }
        instance.store_availability.read_failed(began_ms);
        if !lost {
            lost = true;
            instance.counters.count("store_lost", "read");
            log::warn!("event=store_lost kind={}", F::KIND);
        }
        backoff.wait().await;
    }
}

/// Applies changes until a watch fails or a peer knows a newer state.
async fn watch<F: Follower>(
    instance: &Instance,
    store: &CallClient,
    follower: &F,
    mut revision: u64,
) {
    loop {
        let answer = tokio::select! {
            answer = next_changes(instance, store, follower, revision) => answer,
            () = follower.wait_until_behind() => None,
            () = wait_until_unconfirmed::<F>(instance) => {
                current_changes::<F>(instance, store, revision).await
            }
        };
        let Some(Answer { changes, as_of_ms }) = answer else {
            return;
        };
        // A lagging replica of the store may report a change that was read
        // before.
        let is_new = |object: &Option<StoredObject>| {
            object
                .as_ref()
                .is_none_or(|object| object.revision > revision)
        };
        let mut changed = changes.changed;
        changed.retain(|(_, object)| is_new(object));
        record_refused(instance, follower, &changed, changes.unnamed);
        revision = revision.max(changes.revision);
        follower.apply_changes(&changed, revision);
        record_answer::<F>(instance, revision, as_of_ms);
        if !follower.is_needed() {
            return;
        }
        if !changed.is_empty() && follower.batch_ms() > 0 {
            sleep(Duration::from_millis(follower.batch_ms())).await;
        }
    }
}

/// Completes once current changes of the kind have to be read, if ever.
async fn wait_until_unconfirmed<F: Follower>(instance: &Instance) {
    match F::CONFIRMED_KIND {
        Some(kind) => instance.wait_until_unconfirmed(kind).await,
        None => pending().await,
    }
}

/// Returns the changes that there are now, on a new connection: the one of the watch that was
/// given up may have been silent, and those that are idle with it.
async fn current_changes<F: Follower>(
    instance: &Instance,
    store: &CallClient,
    revision: u64,
) -> Option<Answer> {
    instance.counters.count("unconfirmed", F::KIND.name());
    store.discard_idle();
    read_changes::<F>(instance, store, revision, MIN_WAIT_MS, Freshness::Current).await
}

fn record_answer<F: Follower>(instance: &Instance, revision: u64, as_of_ms: Option<u64>) {
    if let Some(kind) = F::CONFIRMED_KIND {
        instance.record_store_answer(kind, revision, as_of_ms);
    }
}

/// Records changes without a name, and forgets refused entries that were removed.
fn record_refused<F: Follower>(
    instance: &Instance,
    follower: &F,
    changed: &[(String, Option<StoredObject>)],
    unnamed: usize,
) {
    let refused = follower.refused();
    refused.record_unnamed(unnamed, &instance.counters);
    for (name, _) in changed.iter().filter(|(_, object)| object.is_none()) {
        refused.forget(name);
    }
}

async fn read<F: Follower>(instance: &Instance, store: &CallClient, follower: &F) -> Option<u64> {
    let mut reading = Reading::new(follower.start());
    let freshness = follower.reading_freshness();
    let began_ms = now_ms();
    let mut unnamed = 0;
    loop {
        let page = read_page::<F>(instance, store, reading.after(), freshness).await?;
        // The list turns out to be long. By now a large fleet may be known as such.
        if page.has_more && !reading.is_partial() && reading.after().is_none() {
            let start = follower.start();
            if start.is_some() {
                reading = Reading::new(start);
                continue;
            }
        }
        unnamed += page.unnamed;
        match reading.add(page, |objects| follower.is_enough(objects)) {
            Ok(listing) => {
                let (refused, counters) = (follower.refused(), &instance.counters);
                refused.retain(&listing.objects, unnamed, counters);
                follower.replace_all(&listing);
                let as_of_ms = (freshness == Freshness::Current).then_some(began_ms);
                record_answer::<F>(instance, listing.revision, as_of_ms);
                return Some(listing.revision);
            }
            Err(unfinished) => reading = unfinished,
        }
    }
}

async fn read_page<F: Follower>(
    instance: &Instance,
    store: &CallClient,
    after: Option<&str>,
    freshness: Freshness,
) -> Option<Page> {
    let call = Page::call(F::KIND, after, freshness);
    let timeout_ms = instance.settings.store_call_timeout_ms;
    let (status, body) = match store.call(&call, timeout_ms).await {
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
    decoded_or_logged::<F, _>(decode_page(&body))
}

/// Returns the decoded value. An answer that cannot be decoded is logged, and
/// the caller reads again.
fn decoded_or_logged<F: Follower, T>(result: Result<T, StoreError>) -> Option<T> {
    result
        .inspect_err(|error| {
            log::warn!("event=store_unreadable kind={} error=\"{error}\"", F::KIND)
        })
        .ok()
}

/// Returns the next changes: as soon as there are some, or what there is after the
/// follower's interval.
async fn next_changes<F: Follower>(
    instance: &Instance,
    store: &CallClient,
    follower: &F,
    revision: u64,
) -> Option<Answer> {
    let now_ms = now_ms();
    let freshness = instance.freshness(now_ms);
    let wait_ms = match (freshness, instance.settles_in_ms(now_ms)) {
        (Freshness::Current, _) => follower.current_wait_ms(instance),
        (Freshness::MayLag, 0) => instance.settings.max_watch_ms,
        (Freshness::MayLag, settles_in_ms) => settles_in_ms,
    };
    let Some(interval_ms) = follower.poll_interval_ms() else {
        return read_changes::<F>(instance, store, revision, wait_ms, freshness).await;
    };
    sleep(Duration::from_millis(interval_ms)).await;
    read_changes::<F>(instance, store, revision, MIN_WAIT_MS, freshness).await
}

async fn read_changes<F: Follower>(
    instance: &Instance,
    store: &CallClient,
    revision: u64,
    wait_ms: u64,
    freshness: Freshness,
) -> Option<Answer> {
    let call = Changes::call(F::KIND, revision, wait_ms, freshness);
    let asked_ms = now_ms();
    let timeout_ms = wait_ms + instance.settings.watch_answer_margin_ms;
    match store.call(&call, timeout_ms).await {
        Ok((200, body)) => {
            let changes = decoded_or_logged::<F, _>(decode_changes(&body))?;
            let has_changes = !changes.changed.is_empty() || changes.unnamed > 0;
            let is_current = freshness == Freshness::Current;
            let as_of_ms = is_current.then(|| as_of_ms(asked_ms, wait_ms, has_changes, now_ms()));
            Some(Answer { changes, as_of_ms })
        }
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
