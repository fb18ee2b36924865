use {
    super::{CallClient, backoff::Backoff},
    crate::{clock::now_ms, instance::Instance},
    mangowalk_core::origin::BuildsByService,
    mangowalk_platform::{
        BuildsRecord, Call, Freshness, ObjectKind, StoredObject, decode_object, encode_create,
        encode_replace, path_of_object,
    },
    std::{rc::Rc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Name of the single object.
const NAME: &str = "listed";

/// Interval at which the object is compared with the engine list. New builds are written
/// at once; those that are no longer needed may stay for a while.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// The object as this instance has last seen it.
struct Kept {
    /// `None` if there is no object.
    revision: Option<u64>,
    builds: BuildsByService,
}

/// Keeps the builds of all services in the store, where they outlast all instances; never
/// returns.
///
/// Every instance reads them at its start. Those that read current state from the store
/// write them. If all instances are killed at once, streams can still go on where the
/// service has a single build.
pub async fn keep_builds(instance: Rc<Instance>, store: Rc<CallClient>) {
    let mut kept = read(&instance, &store).await;
    loop {
        // Times out unless a build has appeared.
        let _ = timeout(CHECK_INTERVAL, instance.wake_ups.builds.notified()).await;
        if instance.freshness(now_ms()) != Freshness::Current {
            continue;
        }
        let Some(listed) = instance.known_builds(now_ms()) else {
            continue;
        };
        if listed == kept.builds {
            continue;
        }
        kept = match write(&instance, &store, kept.revision, listed).await {
            Some(written) => written,
            None => {
                sleep(CHECK_INTERVAL).await;
                read(&instance, &store).await
            }
        };
    }
}

/// Reads the object and adds its builds to those that this instance knows.
async fn read(instance: &Instance, store: &CallClient) -> Kept {
    let mut backoff = Backoff::default();
    let call = Call::get(path_of_object(ObjectKind::Builds, NAME));
    let timeout_ms = instance.settings.store_call_timeout_ms;
    loop {
        match store.call(&call, timeout_ms).await {
            Ok((200, body)) => {
                if let Ok(object) = decode_object(&body) {
                    return take_over(instance, object);
                }
            }
            Ok((404, _)) => {
                return Kept {
                    revision: None,
                    builds: BuildsByService::default(),
                };
            }
            _ => {}
        }
        backoff.wait().await;
    }
}

/// Adds the builds of the object to those that this instance knows. An object that can't
/// be read tells nothing and is replaced.
fn take_over(instance: &Instance, object: StoredObject) -> Kept {
    let revision = Some(object.revision);
    let record: Result<BuildsRecord, _> = serde_json::from_value(object.spec);
    let builds = match &record {
        Ok(record) => BuildsByService::from(record),
        Err(error) => {
            log::warn!("event=builds_refused name={NAME} error=\"{error}\"");
            return Kept {
                revision,
                builds: BuildsByService::default(),
            };
        }
    };
    let mut listed_builds = instance.origins.listed_builds.borrow_mut();
    listed_builds.add_past(&builds, now_ms());
    Kept { revision, builds }
}

/// Writes the builds under the revision that was read. Returns `None` if the object is
/// another one by now, or it isn't known whether it was written.
async fn write(
    instance: &Instance,
    store: &CallClient,
    revision: Option<u64>,
    builds: BuildsByService,
) -> Option<Kept> {
    let record = BuildsRecord::from(&builds);
    let call = match revision {
        Some(revision) => encode_replace(ObjectKind::Builds, NAME, revision, &record),
        None => encode_create(ObjectKind::Builds, NAME, &record),
    };
    let timeout_ms = instance.settings.store_call_timeout_ms;
    let (status, body) = store.call(&call, timeout_ms).await.ok()?;
    log::info!(
        "event=builds_written status={status} services={}",
        builds.len()
    );
    let object = decode_object(&body).ok().filter(|_| status < 300)?;
    Some(Kept {
        revision: Some(object.revision),
        builds,
    })
}
