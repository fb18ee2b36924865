use {
    super::{ConnectionPool, connect_to_engine},
    crate::{clock::now_ms, instance::Instance, logs::LIFECYCLE},
    futures_util::future::join_all,
    mangowalk_core::{path::sample_engines, pool::EngineEntry},
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Tries engines of the services to which the path is lost, until one accepts a
/// connection. Never returns.
pub async fn watch_paths(instance: Rc<Instance>, pool: Rc<ConnectionPool>) {
    let settings = instance.settings.path;
    loop {
        let changed = instance.wake_ups.path.notified();
        let sample = sample_of_lost_services(&instance, now_ms());
        if sample.is_empty() {
            changed.await;
            continue;
        }
        is_any_accepted(&instance, &pool, &sample).await;
        sleep(Duration::from_millis(settings.return_interval_ms)).await;
    }
}

fn sample_of_lost_services(instance: &Instance, now_ms: u64) -> Vec<EngineEntry> {
    let paths = instance.service_paths.borrow();
    let engines = instance.engines.borrow();
    let of_service = |service: &str| {
        let accepting = engines.accepting_engines(service, now_ms);
        let count = instance.settings.path.return_sample;
        sample_engines(accepting, count, rand::random(), now_ms)
    };
    paths.lost_services().flat_map(of_service).collect()
}

/// Records that an engine of a service accepted a connection that was begun at
/// `began_ms`.
pub(super) fn record_accepted(instance: &Instance, service: &str, began_ms: u64) {
    let mut paths = instance.service_paths.borrow_mut();
    let Some(lost_since_ms) = paths.record_accepted(service, began_ms) else {
        return;
    };
    drop(paths);
    instance.engines.borrow_mut().forget_failures(service);
    instance.counters.count("service_path", "regained");
    let lost_ms = now_ms().saturating_sub(lost_since_ms);
    log::warn!(target: LIFECYCLE, "event=path_regained service={service} lost_ms={lost_ms}");
    instance.wake_ups.path.notify_waiters();
    instance.wake_ups.silent_engine.notify_one();
}

/// Returns whether this instance still reaches engines of the service, after `failed`
/// accepted no connection that was begun at `since_ms`.
///
/// An engine that is gone and a path that is cut look alike from one connection. Without
/// the difference an instance that is cut off takes all engines for dead, tells its peers
/// so, and holds requests to have crashed them.
pub(super) async fn confirm_path(
    instance: &Instance,
    pool: &Rc<ConnectionPool>,
    failed: &EngineEntry,
    since_ms: u64,
) -> bool {
    let service = failed.service.as_str();
    let check = {
        let mut checks = instance.path_checks.borrow_mut();
        checks.entry(service.to_owned()).or_default().clone()
    };
    let _checking = check.lock().await;
    let settings = instance.settings.path;
    let mut tried = 0;
    for size in [settings.first_sample, settings.full_sample] {
        if let Some(is_there) = known_path(instance, service, since_ms) {
            return is_there;
        }
        let sample = sample_others(instance, failed, size, now_ms());
        if is_any_accepted(instance, pool, &sample).await {
            return true;
        }
        tried = sample.len();
    }
    record_lost(instance, pool, service, tried);
    false
}

/// Returns whether a service can be reached, if an attempt since `since_ms` or an earlier
/// check has shown it.
fn known_path(instance: &Instance, service: &str, since_ms: u64) -> Option<bool> {
    let paths = instance.service_paths.borrow();
    if paths.is_lost(service) {
        return Some(false);
    }
    paths.was_accepted_since(service, since_ms).then_some(true)
}

/// Returns engines of the same service that this instance doesn't know to be silent.
fn sample_others(
    instance: &Instance,
    failed: &EngineEntry,
    size: usize,
    now_ms: u64,
) -> Vec<EngineEntry> {
    let engines = instance.engines.borrow();
    let others = engines
        .accepting_engines(&failed.service, now_ms)
        .filter(|engine| {
            !engine.health.is_silent() && engine.entry.incarnation != failed.incarnation
        });
    sample_engines(others, size, rand::random(), now_ms)
}

/// Opens a connection to each engine, and keeps those that are accepted for requests.
/// Returns whether there is one.
async fn is_any_accepted(
    instance: &Instance,
    pool: &Rc<ConnectionPool>,
    engines: &[EngineEntry],
) -> bool {
    let attempts = engines.iter().map(async |engine| {
        let connected = connect_to_engine(instance, engine).await;
        connected.is_ok_and(|connected| {
            let connection = pool.wrap(&engine.incarnation, connected);
            connection.return_to_pool(now_ms());
            true
        })
    });
    join_all(attempts).await.contains(&true)
}

fn record_lost(instance: &Instance, pool: &ConnectionPool, service: &str, tried: usize) {
    let mut paths = instance.service_paths.borrow_mut();
    paths.record_lost(service, now_ms());
    drop(paths);
    let engines = instance.engines.borrow();
    for engine in engines
        .iter()
        .filter(|engine| engine.entry.service == service)
    {
        // What a cut has swallowed on them would be lost once the path is back.
        pool.close_idle(&engine.entry.incarnation);
    }
    drop(engines);
    instance.crashes.borrow_mut().forget_lost();
    instance.counters.count("service_path", "lost");
    log::warn!(target: LIFECYCLE, "event=path_lost service={service} engines_tried={tried}");
    instance.wake_ups.path.notify_waiters();
    instance.wake_ups.heartbeat.notify_one();
}
