use {
    crate::{
        callers::{serve_callers, serve_directory, serve_metrics, serve_ready},
        clock::{now_ms, wall_ms},
        instance::{Drain, GatewaySettings, Instance},
        logs::{self, LIFECYCLE, LogSettings},
        mesh,
        store::{CallClient, register, watch_configuration, watch_engines, watch_weights},
        upstreams::{Pool, probe_silent, watch_kept},
        vital::VitalTasks,
        weights::run_weights_updater,
    },
    derive_more::{Display, Error},
    mangowalk_core::weights::{LeaseSettings, WeightsSettings},
    mangowalk_platform::{MachineSettings, SettingsError, decode_settings},
    std::{fs, io, net::SocketAddr, path::Path, rc::Rc, time::Duration},
    tokio::{
        net::TcpListener,
        runtime,
        signal::unix::{Signal, SignalKind, signal},
        sync::watch,
        task::{LocalSet, spawn_local},
        time::sleep,
    },
};

/// Pause between two looks while open requests end.
const DRAIN_LOOK: Duration = Duration::from_millis(50);

/// Time for the last heartbeat and log lines to leave. Lines gather for up to a
/// tenth of a second before they are written.
const FAREWELL: Duration = Duration::from_millis(200);

/// Time between two looks at the settings file. A change without a signal is
/// no hurry: what has to hold within seconds comes from the store.
const SETTINGS_LOOK: Duration = Duration::from_secs(3);

/// Pause between two sweeps of idle connections.
const SWEEP: Duration = Duration::from_millis(1_000);

/// Time for which a request may lie in an engine's queue before it begins.
/// Weights must not be out of bounds when it does.
const QUEUED_MS: u64 = 1_200;

/// Time that an engine may take to notice that a request is withdrawn.
const WITHDRAW_MS: u64 = 300;

/// Time that a busy instance may take to handle the signal to stop.
const SIGNAL_MS: u64 = 200;

/// Connections to the store, at its farthest a few milliseconds away.
const STORE_CONNECT_MS: u64 = 400;

/// Why an instance did not start. Each message names the remedy.
#[derive(Debug, Display, Error)]
pub enum RunError {
    /// The settings file can't be read.
    #[display("The settings file {path} can't be read ({source}); check path and rights.")]
    Unreadable {
        /// Its path.
        path: String,
        /// What the system said.
        source: io::Error,
    },
    /// A field of the settings file can't be used.
    #[display("{source}")]
    Settings {
        /// Which, and what to write.
        source: SettingsError,
    },
    /// An address can't be listened on.
    #[display("{address} can't be listened on ({source}); check that no other process uses it.")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// A task without which the instance can't serve has ended.
    #[display(
        "A part that the instance can't serve without has ended ({reason}); start it again, \
         and report the log's last lines."
    )]
    TaskEnded {
        /// Which, and how.
        #[error(not(source))]
        reason: String,
    },
    /// The system gives no event loop, signals or thread.
    #[display("The system gives no {what} ({source}); raise its limits.")]
    System {
        /// What is missing.
        what: &'static str,
        /// What the system said.
        source: io::Error,
    },
}

/// Reads a settings file.
///
/// # Errors
///
/// Names the field that can't be used.
pub fn read_settings(path: &Path) -> Result<MachineSettings, RunError> {
    let text = fs::read_to_string(path).map_err(|source| RunError::Unreadable {
        path: path.display().to_string(),
        source,
    })?;
    decode_settings(&text).map_err(|source| RunError::Settings { source })
}

/// Runs an instance until it is told to stop.
///
/// # Errors
///
/// Fails where it can't start.
pub fn run(path: &Path) -> Result<(), RunError> {
    let machine = read_settings(path)?;
    logs::install(LogSettings::default(), &machine.name).map_err(|source| RunError::System {
        what: "thread for the log",
        source,
    })?;
    let event_loop = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| RunError::System {
            what: "event loop",
            source,
        })?;
    let tasks = LocalSet::new();
    tasks.block_on(&event_loop, serve(machine, path))
}

async fn listen(address: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| RunError::Listen { address, source })
}

async fn serve(machine: MachineSettings, path: &Path) -> Result<(), RunError> {
    let lease = LeaseSettings {
        exclusion_ms: machine.lease_ms,
        ..LeaseSettings::default()
    };
    let defaults = GatewaySettings::default();
    let weights = WeightsSettings {
        dispatch_until_ms: machine.weights_ms.saturating_sub(QUEUED_MS),
        start_until_ms: machine.weights_ms.saturating_sub(WITHDRAW_MS),
        ..defaults.weights
    };
    let settings = GatewaySettings {
        lease,
        weights,
        ..defaults
    };
    let callers = listen(machine.caller_address).await?;
    let ready = listen(machine.ready_address).await?;
    let directory = listen(machine.directory_address).await?;
    let metrics = listen(machine.metrics_address).await?;
    let peer_address = machine.peer_address;
    let peers = mesh::bind(peer_address)
        .await
        .map_err(|source| RunError::Listen {
            address: peer_address,
            source,
        })?;
    let (drain_teller, drain) = Drain::channel();
    let instance = Instance::new(machine, settings, wall_ms(), drain);
    let store_client = CallClient::new(instance.machine().store_address, STORE_CONNECT_MS);
    let (pool, store) = (Rc::new(Pool::default()), Rc::new(store_client));
    log::info!(
        target: LIFECYCLE,
        "event=started domain={} callers={} incarnation={}",
        instance.machine().domain,
        instance.machine().caller_address,
        instance.incarnation,
    );
    let mut tasks = VitalTasks::default();
    tasks.start("heartbeats", mesh::exchange(instance.clone(), peers));
    tasks.start(
        "configuration",
        watch_configuration(instance.clone(), store.clone()),
    );
    tasks.start("engines", watch_engines(instance.clone(), store.clone()));
    tasks.start("weights", watch_weights(instance.clone(), store.clone()));
    tasks.start(
        "orders",
        run_weights_updater(instance.clone(), store.clone()),
    );
    tasks.start("readiness", serve_ready(instance.clone(), ready));
    tasks.start("directory", serve_directory(instance.clone(), directory));
    tasks.start("metrics", serve_metrics(instance.clone(), metrics));
    tasks.start(
        "callers",
        serve_callers(instance.clone(), pool.clone(), callers),
    );
    tasks.start("kept_parts", watch_kept(instance.clone()));
    tasks.start("sweep", sweep(instance.clone(), pool.clone()));
    tasks.start("probes", probe_silent(instance.clone(), pool));
    tasks.start(
        "settings",
        reload(
            instance.clone(),
            catch(SignalKind::hangup())?,
            path.to_owned(),
        ),
    );
    spawn_local(register(instance.clone(), store));
    let mut terminate = catch(SignalKind::terminate())?;
    let mut interrupt = catch(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        reason = tasks.first_end() => {
            log::error!("event=task_ended reason=\"{reason}\"");
            sleep(FAREWELL).await;
            return Err(RunError::TaskEnded { reason });
        }
    }
    stop(&instance, &drain_teller).await;
    Ok(())
}

fn catch(kind: SignalKind) -> Result<Signal, RunError> {
    signal(kind).map_err(|source| RunError::System {
        what: "signals",
        source,
    })
}

async fn sweep(instance: Rc<Instance>, pool: Rc<Pool>) {
    loop {
        sleep(SWEEP).await;
        unlist_missing(&instance);
        let engines = instance.engines.borrow();
        pool.sweep(
            |one| {
                engines
                    .get(&one.id)
                    .is_some_and(|belief| belief.entry.incarnation == *one)
            },
            now_ms(),
        );
    }
}

fn unlist_missing(instance: &Instance) {
    let now_ms = now_ms();
    let mut engines = instance.engines.borrow_mut();
    let revision = engines.list_revision();
    for engine in engines.grace_expired(now_ms) {
        engines.remove_entry(&engine, revision, None, now_ms);
        log::info!("event=engine_gone engine={engine} revision={revision}");
    }
}

/// Reads the settings again at each SIGHUP, and from time to time without one,
/// as the file may change without a signal. A file that can't be used changes
/// nothing.
async fn reload(instance: Rc<Instance>, mut hangup: Signal, path: std::path::PathBuf) {
    let mut last = read_settings(&path);
    loop {
        let is_told = tokio::select! {
            told = hangup.recv() => told.is_some(),
            () = sleep(SETTINGS_LOOK) => false,
        };
        let read = read_settings(&path);
        let is_new = match (&read, &last) {
            (Ok(read), Ok(last)) => read != last,
            (Err(read), Err(last)) => read.to_string() != last.to_string(),
            _ => true,
        };
        if !is_told && !is_new {
            continue;
        }
        match &read {
            Ok(machine) => {
                let reload = instance.reload(machine);
                log::info!(
                    target: LIFECYCLE,
                    "event=reloaded taken={} waiting_for_start={}",
                    reload.taken.join(","),
                    reload.waiting.join(","),
                );
            }
            Err(error) => log::warn!("event=reload_refused error=\"{error}\""),
        }
        last = read;
    }
}

/// Stops: out of the addresses at once, still serving those who keep old
/// ones, then ending what is open, all within the time before the kill.
async fn stop(instance: &Instance, drain: &watch::Sender<Drain>) {
    let began_ms = now_ms();
    let last_ms = began_ms + instance.machine().grace_ms - instance.settings.exit_margin_ms;
    // Callers keep addresses up to three times as long as they were told. Those who
    // come later are sent elsewhere at once: a long stream would be cut off.
    let kept_ms = 3 * 1_000 * instance.settings.keep_s;
    let close_ms = (began_ms + kept_ms - SIGNAL_MS).min(last_ms.saturating_sub(500));
    log::info!(target: LIFECYCLE, "event=stopping open={}", instance.open_requests.get());
    drain.send_replace(Drain::Departing);
    instance.notes.heartbeat.notify_one();
    while now_ms() < close_ms {
        sleep(DRAIN_LOOK).await;
    }
    drain.send_replace(Drain::Closing);
    while now_ms() < last_ms && instance.open_requests.get() > 0 {
        sleep(DRAIN_LOOK).await;
    }
    drain.send_replace(Drain::Stopped);
    instance.notes.heartbeat.notify_one();
    log::info!(target: LIFECYCLE, "event=stopped open={}", instance.open_requests.get());
    sleep(FAREWELL).await;
}
