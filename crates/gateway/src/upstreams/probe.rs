use {
    super::{ConnectError, ConnectionPool, connect_to_engine, path::confirm_path},
    crate::{clock::now_ms, instance::Instance},
    futures_util::future::join_all,
    mangowalk_core::pool::EngineEntry,
    std::{rc::Rc, time::Duration},
    tokio::{task::spawn_local, time::sleep},
};

/// Minimum interval between two probes of an engine.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Time after which a connection that was accepted after a lost request must still
/// be open. A crashed process closes its connections within milliseconds.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(200);

/// Probes silent engines by opening a connection, until they accept one. Never
/// returns.
///
/// Without probes only a caller's request would show that an engine is back, and
/// most such requests would be lost. A health request would occupy a place in the
/// engine's queue and cost more than a connection, which the next request uses.
pub async fn probe_silent_engines(instance: Rc<Instance>, pool: Rc<ConnectionPool>) {
    loop {
        let silent: Vec<EngineEntry> = {
            let engines = instance.engines.borrow();
            let silent = engines.silent_engines();
            silent
                .map(|known_engine| known_engine.entry.clone())
                .collect()
        };
        if silent.is_empty() {
            instance.wake_ups.silent_engine.notified().await;
        }
        join_all(
            silent
                .iter()
                .map(|entry| reconnect(&instance, &pool, entry)),
        )
        .await;
        sleep(PROBE_INTERVAL).await;
    }
}

async fn reconnect(instance: &Instance, pool: &Rc<ConnectionPool>, entry: &EngineEntry) {
    let Ok(connection) = connect_to_engine(instance, entry).await else {
        return;
    };
    let now_ms = now_ms();
    pool.wrap(&entry.incarnation, connection)
        .return_to_pool(now_ms);
    if let Some(known_engine) = instance
        .engines
        .borrow_mut()
        .get_start_mut(&entry.incarnation)
    {
        known_engine.health.record_connection();
    }
    log::warn!("event=engine_answers_again engine={}", entry.incarnation.id);
}

/// Returns whether an engine with an open request is silent or no longer known, or has
/// sent nothing since `quiet_since_ms` and the path to its service is lost.
///
/// Starts a probe if the engine isn't known to be silent and this instance has
/// received nothing from it since `quiet_since_ms`.
pub fn check_silent(
    instance: &Rc<Instance>,
    pool: &Rc<ConnectionPool>,
    entry: &EngineEntry,
    quiet_since_ms: u64,
    now_ms: u64,
) -> bool {
    let engines = instance.engines.borrow();
    let known_engine = engines.get(&entry.incarnation.id);
    let is_silent = known_engine.is_none_or(|known_engine| known_engine.is_silent(now_ms));
    let is_quiet =
        known_engine.is_some_and(|known_engine| known_engine.last_received_ms < quiet_since_ms);
    drop(engines);
    if is_quiet && !is_silent {
        probe_engine(instance, pool, entry, ProbeReason::Quiet);
    }
    is_silent || is_quiet && instance.service_paths.borrow().is_lost(&entry.service)
}

/// Why an engine is probed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeReason {
    /// It has sent nothing for a while.
    Quiet,
    /// A request to it was lost, which may have crashed it.
    RequestLost,
}

/// Probes whether an engine still accepts connections, at most once in
/// `PROBE_INTERVAL` and not while the engine is known to be silent. If the probe
/// fails and other engines accept connections, the engine gets no further requests, and
/// the peers are notified.
///
/// The lack of bytes alone proves nothing: an engine sends none while it prefills
/// long prompts, and excluding busy engines would overload the others.
pub fn probe_engine(
    instance: &Rc<Instance>,
    pool: &Rc<ConnectionPool>,
    entry: &EngineEntry,
    reason: ProbeReason,
) {
    let is_request_lost = reason == ProbeReason::RequestLost;
    let interval_ms = PROBE_INTERVAL.as_millis() as u64;
    let mut engines = instance.engines.borrow_mut();
    let known_engine = engines.get_mut(&entry.incarnation.id);
    let delay_ms = known_engine.and_then(|known_engine| {
        known_engine.schedule_probe(is_request_lost, interval_ms, now_ms())
    });
    let Some(delay_ms) = delay_ms else {
        return;
    };
    let (instance, pool, entry) = (instance.clone(), pool.clone(), entry.clone());
    spawn_local(async move {
        sleep(Duration::from_millis(delay_ms)).await;
        let began_ms = now_ms();
        if let Err(error) = open_connection(&instance, &pool, &entry, reason).await
            && confirm_path(&instance, &pool, &entry, began_ms).await
        {
            record_silent(&instance, &pool, &entry, &error);
        }
    });
}

/// Opens a connection to an engine and adds it to the pool.
///
/// After a lost request it also checks that the connection stays open: the
/// listener of an engine that crashes may accept one more connection.
///
/// # Errors
///
/// Fails if the engine accepts no connection.
async fn open_connection(
    instance: &Instance,
    pool: &Rc<ConnectionPool>,
    entry: &EngineEntry,
    reason: ProbeReason,
) -> Result<(), ConnectError> {
    let mut connection = connect_to_engine(instance, entry).await?;
    if reason == ProbeReason::RequestLost {
        sleep(CONFIRMATION_DELAY).await;
        if connection.is_closed() {
            connection = connect_to_engine(instance, entry).await?;
        }
    }
    pool.wrap(&entry.incarnation, connection)
        .return_to_pool(now_ms());
    Ok(())
}

fn record_silent(
    instance: &Instance,
    pool: &ConnectionPool,
    entry: &EngineEntry,
    error: &ConnectError,
) {
    let now_ms = now_ms();
    if let Some(known_engine) = instance
        .engines
        .borrow_mut()
        .get_start_mut(&entry.incarnation)
    {
        let health = &instance.settings.choice.health;
        known_engine.health.record_silence(health, now_ms);
    }
    pool.close_idle(&entry.incarnation);
    let mut crashes = instance.crashes.borrow_mut();
    let crash = crashes.record_engine_crash(entry, now_ms);
    drop(crashes);
    if let Some(crash) = crash {
        instance.report_engine_crash(crash, now_ms);
    }
    instance.counters.count("engine_silent", "no_connection");
    instance.wake_ups.silent_engine.notify_one();
    instance.wake_ups.path.notify_waiters();
    instance.wake_ups.heartbeat.notify_one();
    log::warn!(
        "event=engine_silent engine={} error=\"{error}\"",
        entry.incarnation.id
    );
}
