use {
    super::{Pool, connect},
    crate::{clock::now_ms, instance::Instance},
    futures_util::future::join_all,
    mangowalk_core::pool::EngineEntry,
    std::{rc::Rc, time::Duration},
    tokio::{task::spawn_local, time::sleep},
};

/// Pause between two tries with engines that fell silent.
const PAUSE: Duration = Duration::from_millis(400);

/// Tries to connect to engines that fell silent until they take a connection.
///
/// A caller's request would be the other way to find out, and most likely be
/// lost. A question of health takes a place in the engine's queue and costs
/// more than a connection, which the next request then uses.
pub async fn probe_silent(instance: Rc<Instance>, pool: Rc<Pool>) {
    loop {
        let silent: Vec<EngineEntry> = {
            let engines = instance.engines.borrow();
            let silent = engines.silent_engines();
            let silent = silent.iter().filter_map(|id| engines.get(id));
            silent.map(|belief| belief.entry.clone()).collect()
        };
        if silent.is_empty() {
            instance.notes.silent.notified().await;
        }
        join_all(silent.iter().map(|entry| probe(&instance, &pool, entry))).await;
        sleep(PAUSE).await;
    }
}

async fn probe(instance: &Instance, pool: &Rc<Pool>, entry: &EngineEntry) {
    let Ok((sender, task)) = connect(entry.address, &instance.settings).await else {
        return;
    };
    let now_ms = now_ms();
    pool.adopt(entry, sender, task).put_back(now_ms);
    if let Some(belief) = instance.engines.borrow_mut().get_mut(&entry.incarnation.id) {
        belief.health.record_connection();
    }
    log::warn!("event=engine_answers_again engine={}", entry.incarnation.id);
}

/// Returns whether an engine that is waited for is silent. One that was heard
/// by nobody here since a time, and isn't known to be silent, is tried.
pub fn is_silent(
    instance: &Rc<Instance>,
    pool: &Rc<Pool>,
    entry: &EngineEntry,
    unheard_since_ms: u64,
    now_ms: u64,
) -> bool {
    let engines = instance.engines.borrow();
    let belief = engines.get(&entry.incarnation.id);
    let is_silent = belief.is_none_or(|belief| belief.is_silent(now_ms));
    let is_quiet = belief.is_some_and(|belief| belief.last_received_ms < unheard_since_ms);
    drop(engines);
    if is_quiet && !is_silent {
        doubt(instance, pool, entry);
    }
    is_silent
}

/// Tries whether an engine from which nothing comes still takes connections.
/// If not, it gets no further requests, and the peers are told.
///
/// Silence alone shows nothing: an engine that reads long prompts is silent
/// too, and keeping work from the busy ones would overload the rest.
pub fn doubt(instance: &Rc<Instance>, pool: &Rc<Pool>, entry: &EngineEntry) {
    {
        let mut engines = instance.engines.borrow_mut();
        let Some(belief) = engines.get_mut(&entry.incarnation.id) else {
            return;
        };
        let now_ms = now_ms();
        if now_ms < belief.last_probe_ms + PAUSE.as_millis() as u64 || belief.health.is_silent() {
            return;
        }
        belief.last_probe_ms = now_ms;
    }
    let (instance, pool, entry) = (instance.clone(), pool.clone(), entry.clone());
    spawn_local(async move {
        let error = match connect(entry.address, &instance.settings).await {
            Ok((sender, task)) => return pool.adopt(&entry, sender, task).put_back(now_ms()),
            Err(error) => error,
        };
        if let Some(belief) = instance.engines.borrow_mut().get_mut(&entry.incarnation.id) {
            let health = &instance.settings.choice.health;
            belief.health.record_silence(health, now_ms());
        }
        pool.drop_idle(&entry.incarnation);
        instance
            .crashes
            .borrow_mut()
            .crashed(&entry.incarnation, now_ms());
        instance.counters.count("engine_silent", "no_connection");
        instance.notes.silent.notify_one();
        instance.notes.heartbeat.notify_one();
        log::warn!(
            "event=engine_silent engine={} error=\"{error}\"",
            entry.incarnation.id
        );
    });
}
