use {
    crate::{
        callers::{serve_callers, serve_directory, serve_metrics, serve_peers, serve_ready},
        clock::{now_ms, wall_ms},
        critical_tasks::CriticalTasks,
        instance::{Drain, GatewaySettings, Instance},
        logs::{self, LIFECYCLE, LogSettings},
        loop_delay::measure_loop_delay,
        mesh,
        rollouts::run_rollouts,
        store::{
            CallClient, keep_builds, keep_rejected_parts, read_builds, register,
            watch_configuration, watch_engines, watch_rollouts, watch_weights,
        },
        upstreams::{ConnectionPool, probe_silent_engines, watch_kv_stores, watch_paths},
        weights::run_weights_updater,
    },
    derive_more::{Display, Error},
    mangowalk_core::{
        confirmation::{ConfirmationBound, ConfirmationSettings},
        engine_notice::NoticeSettings,
        pool::Incarnation,
        weights::{OrderLeaseSettings, RollingSettings, WeightsSettings},
    },
    mangowalk_platform::{MachineSettings, SettingsError, decode_settings},
    std::{fs, io, net::SocketAddr, path::Path, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, UdpSocket},
        runtime,
        signal::unix::{Signal, SignalKind, signal},
        sync::watch,
        task::{LocalSet, spawn_local},
        time::sleep,
    },
};

/// Interval at which a stopping instance checks the time and its open requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time for the last heartbeat and log lines to be sent. Log lines are batched
/// for up to 100 ms before they are written.
const FINAL_FLUSH_TIME: Duration = Duration::from_millis(200);

/// Interval at which the settings file is checked for changes. A change without
/// a signal isn't urgent: whatever must apply within seconds comes from the store.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(3);

/// Interval between two sweeps of idle connections and missing engines.
const SWEEP_INTERVAL: Duration = Duration::from_millis(1_000);

/// Longest time for which a request may wait in an engine's queue before it
/// starts. The weights must still be within their bounds when it does.
const MAX_ENGINE_QUEUE_MS: u64 = 1_200;

/// Longest time until an engine notices that a request was cancelled.
const MAX_CANCEL_MS: u64 = 300;

/// Longest time that a busy instance takes to handle the signal to stop.
const MAX_SIGNAL_DELAY_MS: u64 = 200;

/// Timeout for a new connection to the store, which is at most a few
/// milliseconds away.
const STORE_CONNECT_TIMEOUT_MS: u64 = 400;

/// Why an instance did not start or ended early. Each message says what to do.
#[derive(Debug, Display, Error)]
pub enum RunError {
    /// The settings file can't be read.
    #[display("Can't read the settings file {path} ({source}); check its path and permissions.")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// Error from the operating system.
        source: io::Error,
    },
    /// A field of the settings file is missing or invalid.
    #[display("{source}")]
    Settings {
        /// Names the field and what to write.
        source: SettingsError,
    },
    /// The instance can't listen on an address.
    #[display("Can't listen on {address} ({source}); check that no other process uses it.")]
    Listen {
        /// Address from the settings file.
        address: SocketAddr,
        /// Error from the operating system.
        source: io::Error,
    },
    /// One of the [`CriticalTasks`] has ended.
    #[display(
        "A critical task has ended ({reason}); restart the instance, and report the last lines \
         of its log."
    )]
    TaskEnded {
        /// Name of a task that returned, or the message of its panic.
        #[error(not(source))]
        reason: String,
    },
    /// The operating system can't provide an event loop, signals or a
    /// thread.
    #[display("The operating system can't provide {what} ({source}); raise its limits.")]
    System {
        /// Resource that is missing, such as "an event loop".
        what: &'static str,
        /// Error from the operating system.
        source: io::Error,
    },
}

/// Reads and decodes a settings file.
///
/// # Errors
///
/// Fails if the file can't be read, or names the field that is missing or
/// invalid.
pub fn read_settings(path: &Path) -> Result<MachineSettings, RunError> {
    let text = fs::read_to_string(path).map_err(|source| RunError::Unreadable {
        path: path.display().to_string(),
        source,
    })?;
    decode_settings(&text).map_err(|source| RunError::Settings { source })
}

/// What operators choose for an instance beside the settings file of its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RunOptions {
    /// Whether changes of weights whose loads take long are planned by the known work; see
    /// [`mangowalk_core::weights::plan_rolling`].
    pub plans_long_loads: bool,
}

/// Runs an instance with the settings file at `path` until it receives SIGTERM
/// or SIGINT, and then shuts it down.
///
/// # Errors
///
/// Fails if the instance can't start, or if one of its critical tasks ends.
pub fn run(path: &Path, options: RunOptions) -> Result<(), RunError> {
    let machine = read_settings(path)?;
    logs::install(LogSettings::default(), &machine.name).map_err(|source| RunError::System {
        what: "a thread for the log",
        source,
    })?;
    let event_loop = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| RunError::System {
            what: "an event loop",
            source,
        })?;
    let tasks = LocalSet::new();
    tasks.block_on(&event_loop, serve(machine, path, options))
}

async fn listen(address: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| RunError::Listen { address, source })
}

async fn bind(address: SocketAddr) -> Result<UdpSocket, RunError> {
    UdpSocket::bind(address)
        .await
        .map_err(|source| RunError::Listen { address, source })
}

async fn serve(machine: MachineSettings, path: &Path, options: RunOptions) -> Result<(), RunError> {
    let lease = OrderLeaseSettings {
        exclusion_ms: machine.lease_ms,
        ..OrderLeaseSettings::default()
    };
    let defaults = GatewaySettings::default();
    let weights = WeightsSettings {
        dispatch_until_ms: machine.weights_ms.saturating_sub(MAX_ENGINE_QUEUE_MS),
        start_until_ms: machine.weights_ms.saturating_sub(MAX_CANCEL_MS),
        ..defaults.weights
    };
    let notices = NoticeSettings {
        last_use_ms: machine.drain_ms / 2,
        ..defaults.notices
    };
    let confirmations = ConfirmationSettings {
        configuration: ConfirmationBound::within(machine.configuration_ms),
        engines: ConfirmationBound::within(machine.drain_ms),
        weights: ConfirmationBound::within(machine.weights_ms),
    };
    let rolling = RollingSettings {
        plans_long_loads: options.plans_long_loads,
        ..defaults.rolling
    };
    let settings = GatewaySettings {
        rolling,
        lease,
        weights,
        notices,
        confirmations,
        ..defaults
    };
    let callers = listen(machine.caller_address).await?;
    let ready = listen(machine.ready_address).await?;
    let directory = listen(machine.directory_address).await?;
    let metrics = listen(machine.metrics_address).await?;
    let passed_on = listen(machine.passing_address(machine.peer_address.ip())).await?;
    let peers = Rc::new(bind(machine.peer_address).await?);
    let origins = bind(machine.origins_address(machine.peer_address.ip())).await?;
    let loans = bind(machine.loans_address(machine.peer_address.ip())).await?;
    let (drain_sender, drain) = Drain::channel();
    let instance = Instance::new(machine, settings, wall_ms(), drain);
    let store_client = CallClient::new(instance.machine().store_address, STORE_CONNECT_TIMEOUT_MS);
    let (pool, store) = (Rc::new(ConnectionPool::default()), Rc::new(store_client));
    log::info!(
        target: LIFECYCLE,
        "event=started domain={} callers={} incarnation={} first_start={}",
        instance.machine().domain,
        instance.machine().caller_address,
        instance.incarnation,
        instance.machine().is_first_start,
    );
    let mut tasks = CriticalTasks::default();
    tasks.start(
        "heartbeats",
        mesh::exchange(instance.clone(), peers.clone()),
    );
    tasks.start(
        "origins",
        mesh::exchange_origins(instance.clone(), Rc::new(origins)),
    );
    tasks.start(
        "loans",
        mesh::exchange_loans(instance.clone(), Rc::new(loans)),
    );
    tasks.start(
        "engine_limits",
        mesh::report_limits(instance.clone(), peers.clone()),
    );
    tasks.start(
        "leaving_engines",
        mesh::report_leaving_engines(instance.clone(), peers.clone()),
    );
    tasks.start(
        "confirmations",
        mesh::report_confirmations(instance.clone(), peers.clone()),
    );
    tasks.start(
        "replaced_engines",
        mesh::report_replaced_engines(instance.clone(), peers.clone()),
    );
    tasks.start(
        "engine_paces",
        mesh::report_engine_paces(instance.clone(), peers.clone()),
    );
    tasks.start(
        "crash_parts",
        mesh::exchange_parts(instance.clone(), peers.clone()),
    );
    tasks.start(
        "configuration",
        watch_configuration(instance.clone(), store.clone()),
    );
    tasks.start("engines", watch_engines(instance.clone(), store.clone()));
    tasks.start(
        "rollout_orders",
        watch_rollouts(instance.clone(), store.clone()),
    );
    tasks.start(
        "rollouts",
        run_rollouts(instance.clone(), store.clone(), peers.clone()),
    );
    tasks.start("weights", watch_weights(instance.clone(), store.clone()));
    tasks.start(
        "orders",
        run_weights_updater(instance.clone(), store.clone()),
    );
    tasks.start("loop_delay", measure_loop_delay(instance.clone()));
    tasks.start("readiness", serve_ready(instance.clone(), ready));
    tasks.start("directory", serve_directory(instance.clone(), directory));
    tasks.start("metrics", serve_metrics(instance.clone(), metrics));
    tasks.start(
        "callers",
        serve_callers(instance.clone(), pool.clone(), callers),
    );
    tasks.start(
        "passed_on",
        serve_peers(instance.clone(), pool.clone(), passed_on),
    );
    tasks.start(
        "kept_parts",
        watch_kv_stores(instance.clone(), peers.clone()),
    );
    tasks.start("sweep", sweep(instance.clone(), pool.clone()));
    tasks.start(
        "probes",
        probe_silent_engines(instance.clone(), pool.clone()),
    );
    tasks.start("paths", watch_paths(instance.clone(), pool));
    tasks.start(
        "settings",
        reload_settings(
            instance.clone(),
            listen_for(SignalKind::hangup())?,
            path.to_owned(),
        ),
    );
    tasks.start(
        "build_readings",
        read_builds(instance.clone(), store.clone()),
    );
    tasks.start("builds", keep_builds(instance.clone(), store.clone()));
    tasks.start(
        "rejected_parts",
        keep_rejected_parts(instance.clone(), store.clone()),
    );
    spawn_local(register(instance.clone(), store));
    let mut terminate = listen_for(SignalKind::terminate())?;
    let mut interrupt = listen_for(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        reason = tasks.wait_for_end() => {
            log::error!("event=task_ended reason=\"{reason}\"");
            sleep(FINAL_FLUSH_TIME).await;
            return Err(RunError::TaskEnded { reason });
        }
    }
    shut_down(&instance, &drain_sender).await;
    Ok(())
}

fn listen_for(kind: SignalKind) -> Result<Signal, RunError> {
    signal(kind).map_err(|source| RunError::System {
        what: "signals",
        source,
    })
}

/// Removes engines whose grace period has expired and closes unusable idle
/// connections, every [`SWEEP_INTERVAL`].
async fn sweep(instance: Rc<Instance>, pool: Rc<ConnectionPool>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        remove_expired_entries(&instance);
        instance.brittle.borrow_mut().expire(now_ms());
        let engines = instance.engines.borrow();
        let is_known = |incarnation: &Incarnation| {
            let engine = engines.get(&incarnation.id);
            engine.is_some_and(|engine| engine.entry.incarnation == *incarnation)
        };
        let limit_settings = &instance.settings.engine_limits;
        let mut limits = instance.engine_limits.borrow_mut();
        limits.retain(is_known, limit_settings, now_ms());
        drop(limits);
        let members = instance.members.borrow();
        pool.sweep(
            |incarnation| {
                is_known(incarnation)
                    || members.incarnation(&incarnation.id) == Some(incarnation.born_ms)
            },
            now_ms(),
        );
    }
}

/// Removes the engines whose entry is still missing when their grace period ends.
fn remove_expired_entries(instance: &Instance) {
    let now_ms = now_ms();
    let mut engines = instance.engines.borrow_mut();
    let revision = engines.list_revision();
    for engine in engines.grace_expired(now_ms) {
        engines.remove_entry(&engine, revision, None, now_ms);
        log::info!("event=engine_gone engine={engine} revision={revision}");
    }
}

/// Reads the settings file again at each SIGHUP, and every
/// [`SETTINGS_POLL_INTERVAL`], as the file may change without a signal. An
/// invalid file is logged and changes nothing.
async fn reload_settings(instance: Rc<Instance>, mut hangup: Signal, path: std::path::PathBuf) {
    let mut last = read_settings(&path);
    loop {
        let is_signaled = tokio::select! {
            signal = hangup.recv() => signal.is_some(),
            () = sleep(SETTINGS_POLL_INTERVAL) => false,
        };
        let read = read_settings(&path);
        let is_changed = match (&read, &last) {
            (Ok(read), Ok(last)) => read != last,
            (Err(read), Err(last)) => read.to_string() != last.to_string(),
            _ => true,
        };
        if !is_signaled && !is_changed {
            continue;
        }
        match &read {
            Ok(machine) => {
                let outcome = instance.reload(machine);
                log::info!(
                    target: LIFECYCLE,
                    "event=reloaded taken={} waiting_for_start={}",
                    outcome.applied.join(","),
                    outcome.needs_restart.join(","),
                );
            }
            Err(error) => log::warn!("event=reload_refused error=\"{error}\""),
        }
        last = read;
    }
}

/// Shuts the instance down before the platform kills it: withdraws it from the
/// directory at once, serves callers with old addresses for some time, then
/// closes idle connections and waits for open requests.
async fn shut_down(instance: &Instance, drain: &watch::Sender<Drain>) {
    let began_ms = now_ms();
    let deadline_ms = began_ms + instance.machine().grace_ms - instance.settings.exit_margin_ms;
    // Some callers keep addresses for three times their TTL. Callers that connect
    // after that are sent to other instances at once, as the kill would cut off a
    // long stream.
    let max_address_age_ms = 3 * 1_000 * instance.settings.address_ttl_s;
    let close_ms =
        (began_ms + max_address_age_ms - MAX_SIGNAL_DELAY_MS).min(deadline_ms.saturating_sub(500));
    instance.shutdown.begin(deadline_ms);
    log::info!(target: LIFECYCLE, "event=stopping open={}", instance.open_requests.get());
    drain.send_replace(Drain::Departing);
    instance.wake_ups.heartbeat.notify_one();
    while now_ms() < close_ms {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    drain.send_replace(Drain::Closing);
    while now_ms() < deadline_ms && instance.open_requests.get() > 0 {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    drain.send_replace(Drain::Stopped);
    instance.wake_ups.heartbeat.notify_one();
    log::info!(target: LIFECYCLE, "event=stopped open={}", instance.open_requests.get());
    sleep(FINAL_FLUSH_TIME).await;
}
