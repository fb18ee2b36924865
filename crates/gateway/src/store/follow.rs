use {
    super::{CallClient, backoff::Backoff},
    crate::{clock::now_ms, instance::Instance},
    mangowalk_platform::{
        Changes, Freshness, Kind, Page, StoreError, Stored, decode_changes, decode_page,
    },
    std::{future::pending, time::Duration},
    tokio::time::sleep,
};

/// Status of a watch whose history is gone; the kind has to be read again.
const GONE: u16 = 410;

/// What follows one kind of objects.
pub(super) trait Follower {
    const KIND: Kind;
    /// Pause after changes, in which further ones gather.
    fn batch_ms(&self) -> u64 {
        0
    }
    /// Takes over the whole kind as it is at a revision.
    fn replace_all(&self, objects: &[Stored], revision: u64);
    /// Takes over changes up to a revision, of which there may be none; an object
    /// that is gone is `None`.
    fn apply_changes(&self, changes: &[(String, Option<Stored>)], revision: u64);
    /// Ends when peers know more than this instance's watch has told.
    async fn wait_until_behind(&self) {
        pending().await
    }
}

/// Follows a kind: reads it whole, then waits for changes, and reads it
/// again when the history is gone, a call fails, or a peer knows more.
pub(super) async fn follow<F: Follower>(instance: &Instance, store: &CallClient, follower: F) {
    loop {
        let revision = read_with_retries(instance, store, &follower).await;
        instance.following.began();
        watch(instance, store, &follower, revision).await;
        instance.following.ended();
    }
}

/// Reads a kind whole, as often as it takes, and returns the revision.
async fn read_with_retries<F: Follower>(
    instance: &Instance,
    store: &CallClient,
    follower: &F,
) -> u64 {
    let mut backoff = Backoff::default();
    let mut lost = false;
    loop {
        let began_ms = now_ms();
        if let Some(revision) = read(instance, store, follower).await {
            instance.following.answered(now_ms());
            if lost {
                log::warn!("event=store_regained kind={} revision={revision}", F::KIND);
            }
            return revision;
        }
        instance.following.failed(began_ms);
        if !lost {
            lost = true;
            instance.counters.count("store_lost", "read");
            log::warn!("event=store_lost kind={}", F::KIND);
        }
        backoff.wait().await;
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
            changes = poll_changes::<F>(instance, store, revision) => changes,
            () = follower.wait_until_behind() => None,
        };
        let Some(changes) = changes else {
            return;
        };
        // A copy that lags may tell once more what was read before.
        let is_new = |object: &Option<Stored>| {
            object
                .as_ref()
                .is_none_or(|object| object.revision > revision)
        };
        let mut changed = changes.changed;
        changed.retain(|(_, object)| is_new(object));
        revision = revision.max(changes.revision);
        follower.apply_changes(&changed, revision);
        if !changed.is_empty() && follower.batch_ms() > 0 {
            sleep(Duration::from_millis(follower.batch_ms())).await;
        }
    }
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
        let page = decoded_or_logged::<F, _>(decode_page(&body))?;
        // Changes between two pages are seen by the watch from the first on.
        revision = revision.or(Some(page.revision));
        let more = page.more && !page.objects.is_empty();
        objects.extend(page.objects);
        if !more {
            follower.replace_all(&objects, revision.unwrap_or_default());
            return revision;
        }
    }
}

/// Returns what was decoded. What can't be read is logged, and read again.
fn decoded_or_logged<F: Follower, T>(result: Result<T, StoreError>) -> Option<T> {
    result
        .inspect_err(|error| {
            log::warn!("event=store_unreadable kind={} error=\"{error}\"", F::KIND)
        })
        .ok()
}

async fn poll_changes<F: Follower>(
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
    match store
        .call(&call, wait_ms + instance.settings.answer_ms)
        .await
    {
        Ok((200, body)) => decoded_or_logged::<F, _>(decode_changes(&body)),
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
