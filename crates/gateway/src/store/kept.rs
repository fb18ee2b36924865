use {
    super::{CallClient, backoff::Backoff},
    crate::{clock::now_ms, instance::Instance},
    mangowalk_platform::{
        Call, Freshness, ObjectKind, StoredObject, decode_object, encode_create, encode_replace,
        path_of_object,
    },
    serde::{Serialize, de::DeserializeOwned},
    std::time::Duration,
    tokio::{
        sync::Notify,
        time::{sleep, timeout},
    },
};

/// Interval at which the object is compared with what the instance knows. What is new is
/// written at once; what is no longer needed may stay for a while.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// First interval at which an instance reads the object while it waits for what another one
/// writes; it doubles with each reading.
const MIN_AWAITED_INTERVAL: Duration = Duration::from_millis(250);

/// Last such interval.
const MAX_AWAITED_INTERVAL: Duration = Duration::from_millis(4_000);

/// Least time after a change in which another instance may have written it.
const MIN_READ_DELAY: Duration = Duration::from_millis(20);

/// Content of a single object of the store, which outlasts all instances.
pub(super) trait KeptContent: Default {
    /// The object as it is written.
    type Record: Serialize + DeserializeOwned;

    /// Kind of the object.
    const KIND: ObjectKind;

    /// Name of the object.
    const NAME: &'static str;

    /// Returns what this instance knows; `None` if something may be missing.
    fn known(instance: &Instance, now_ms: u64) -> Option<Self>;

    /// Adds what was read to what the instance knows.
    fn add_to(&self, instance: &Instance, now_ms: u64);

    /// Returns whether the object needn't be written again.
    fn is_same(&self, known: &Self) -> bool;

    /// Returns the object's content as it is written.
    fn to_record(&self) -> Self::Record;

    /// Returns the content of an object that was read.
    fn from_record(record: &Self::Record) -> Self;

    /// Returns the content of the object in the store with what this instance knows besides,
    /// for an instance whose own knowledge may be incomplete.
    fn addition(_instance: &Instance) -> Option<Self> {
        None
    }

    /// Called with the content once it was read from the store or written to it.
    fn record_kept(&self, _instance: &Instance, _now_ms: u64) {}

    /// Returns whether this instance waits until something is in the store that another
    /// one writes.
    fn is_awaited(_instance: &Instance) -> bool {
        false
    }

    /// Returns the notification that something new is known.
    fn wake_up(instance: &Instance) -> &Notify;
}

/// The object as this instance has last seen it.
struct Seen<C> {
    /// `None` if there is no object.
    revision: Option<u64>,
    content: C,
}

/// Reads an object and then writes what is new; never returns.
///
/// Every instance reads it at its start. Those that read current state from the store
/// write it.
pub(super) async fn keep<C: KeptContent>(instance: &Instance, store: &CallClient) {
    let mut seen = read::<C>(instance, store).await;
    let mut awaited_interval = MIN_AWAITED_INTERVAL;
    loop {
        let is_awaited = C::is_awaited(instance);
        let interval = match is_awaited {
            true => awaited_interval,
            false => CHECK_INTERVAL,
        };
        awaited_interval = match is_awaited {
            true => MAX_AWAITED_INTERVAL.min(2 * awaited_interval),
            false => MIN_AWAITED_INTERVAL,
        };
        // Times out unless something is new.
        let _ = timeout(interval, C::wake_up(instance).notified()).await;
        if instance.freshness(now_ms()) != Freshness::Current {
            if C::is_awaited(instance) {
                sleep(read_delay(instance)).await;
                seen = read(instance, store).await;
            }
            continue;
        }
        let known = C::known(instance, now_ms()).or_else(|| C::addition(instance));
        let Some(known) = known else {
            continue;
        };
        if seen.content.is_same(&known) {
            if C::is_awaited(instance) {
                // Another instance may have written it since it was read.
                seen = read(instance, store).await;
            }
            continue;
        }
        seen = match write(instance, store, seen.revision, known).await {
            Some(written) => written,
            None => {
                sleep(CHECK_INTERVAL).await;
                read(instance, store).await
            }
        };
    }
}

/// Returns a random delay that spreads the reads of all instances of a large fleet, which
/// begin with the same change of the list, over the store's rate.
fn read_delay(instance: &Instance) -> Duration {
    let spread_ms = instance.instance_count() as u64;
    MIN_READ_DELAY + Duration::from_millis(rand::random_range(0..=spread_ms))
}

/// Reads the object and adds its content to what this instance knows.
async fn read<C: KeptContent>(instance: &Instance, store: &CallClient) -> Seen<C> {
    let mut backoff = Backoff::default();
    let call = Call::get(path_of_object(C::KIND, C::NAME));
    let timeout_ms = instance.settings.store_call_timeout_ms;
    loop {
        match store.call(&call, timeout_ms).await {
            Ok((200, body)) => {
                if let Ok(object) = decode_object(&body) {
                    return take_over(instance, object);
                }
            }
            Ok((404, _)) => {
                return Seen {
                    revision: None,
                    content: C::default(),
                };
            }
            _ => {}
        }
        backoff.wait().await;
    }
}

/// Adds the content of the object to what this instance knows. An object that can't be read
/// tells nothing and is replaced.
fn take_over<C: KeptContent>(instance: &Instance, object: StoredObject) -> Seen<C> {
    let revision = Some(object.revision);
    let record: Result<C::Record, _> = serde_json::from_value(object.spec);
    let content = match &record {
        Ok(record) => C::from_record(record),
        Err(error) => {
            let (kind, name) = (C::KIND, C::NAME);
            log::warn!("event={kind}_refused name={name} error=\"{error}\"");
            return Seen {
                revision,
                content: C::default(),
            };
        }
    };
    content.add_to(instance, now_ms());
    content.record_kept(instance, now_ms());
    Seen { revision, content }
}

/// Writes the content under the revision that was read. Returns `None` if the object is
/// another one by now, or it isn't known whether it was written.
async fn write<C: KeptContent>(
    instance: &Instance,
    store: &CallClient,
    revision: Option<u64>,
    content: C,
) -> Option<Seen<C>> {
    let record = content.to_record();
    let call = match revision {
        Some(revision) => encode_replace(C::KIND, C::NAME, revision, &record),
        None => encode_create(C::KIND, C::NAME, &record),
    };
    let timeout_ms = instance.settings.store_call_timeout_ms;
    let (status, body) = store.call(&call, timeout_ms).await.ok()?;
    log::info!("event={}_written status={status}", C::KIND);
    let object = decode_object(&body).ok().filter(|_| status < 300)?;
    content.record_kept(instance, now_ms());
    Some(Seen {
        revision: Some(object.revision),
        content,
    })
}
