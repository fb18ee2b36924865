use {
    crate::{
        caller::CallerServer,
        cli::Settings,
        controller::{
            CacheEventReader, ClaimWriter, ConfigWatch, EnginePoll, Gossip, RolloutController,
            SlotHolder, StatusWriter, answer, flush_claims, release_slots, spawn,
        },
        edge::{LiveEdges, PeerServer},
        metrics::{MetricsReport, metrics_client},
        operator::OperatorServer,
        serve::Router,
        shared_state::{DispatchSettings, Identity, SharedState},
    },
    derive_more::{Display, Error},
    error_stack::{Report, ResultExt},
    log::{info, warn},
    mangowalk_core::edge::{Clock, Edges},
    signal_hook::{
        consts::{SIGINT, SIGTERM},
        iterator::Signals,
    },
    std::{
        process::ExitCode,
        sync::Arc,
        thread::{self, JoinHandle},
        time::Duration,
    },
};

/// Interval at which open requests and controllers are checked during shutdown.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// Time within which the listener notices the stop.
const LISTENER_STOP_WAIT: Duration = Duration::from_millis(250);

/// Maximum time for controllers to shut down and release what they hold.
const CONTROLLER_STOP_TIMEOUT_MS: u64 = 3_000;

/// Number of low bits of the incarnation that are random. The others hold the
/// start time.
const INCARNATION_RANDOM_BITS: u32 = 16;

/// Reason why an instance did not start. Each message says what to change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum StartError {
    /// The address for callers can't be listened on.
    #[display("--caller-address can't be listened on; check that no other process uses it.")]
    CallerAddress,
    /// The address for peers can't be listened on.
    #[display("--peer-address can't be listened on; check that no other process uses it.")]
    PeerAddress,
    /// The address for operators can't be listened on.
    #[display("--operator-address can't be listened on; check that no other process uses it.")]
    OperatorAddress,
    /// The UDP socket for metrics can't be opened.
    #[display("--statsd-address can't be sent to; give an IP number of this network.")]
    StatsdAddress,
    /// Threads or signal handlers can't be created.
    #[display("The system gives no more threads; raise the limit of threads.")]
    Threads,
}

/// One running instance.
pub struct Daemon {
    edges: Arc<LiveEdges>,
    controllers: Vec<JoinHandle<()>>,
    shared: Arc<SharedState>,
    settings: Settings,
    signals: Signals,
    _peer_server: PeerServer,
}

impl Daemon {
    /// Starts the servers and controllers of the instance.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be listened on, or threads or sockets
    /// can't be created.
    pub fn start(settings: Settings) -> Result<Daemon, Report<StartError>> {
        let signals = Signals::new([SIGTERM, SIGINT]).change_context(StartError::Threads)?;
        let edges = Arc::new(LiveEdges::new(settings.platform_address));
        let dispatch = DispatchSettings {
            placement: settings.placement(),
            admission: settings.admission(),
            seed: rand::random(),
        };
        let identity = Identity {
            caller_address: settings.caller_address,
            peer_address: settings.peer_address,
            failure_domain: settings.failure_domain.clone(),
            incarnation: incarnation(edges.clock().wall_ms()),
        };
        let mut shared = SharedState::new(identity, dispatch);
        shared.operator_address = settings.operator_address;
        shared.traffic = edges.traffic().clone();
        let shared = Arc::new(shared);
        shared.config.set_stale_after(settings.stale_config_ms);
        let (peer_edges, peer_shared) = (edges.clone(), shared.clone());
        let peer_server = PeerServer::start(settings.peer_address, move |request| {
            answer(&*peer_edges, &peer_shared, &request)
        })
        .change_context(StartError::PeerAddress)?;
        let router = Router::new(edges.clone(), shared.clone(), settings.clone());
        CallerServer::start(Arc::new(router)).change_context(StartError::CallerAddress)?;
        let controllers =
            start_controllers(&settings, &edges, &shared).change_context(StartError::Threads)?;
        start_operator_edge(&settings, &edges, &shared)?;
        info!("daemon: Listening on {}.", settings.caller_address);
        Ok(Daemon {
            edges,
            controllers,
            shared,
            settings,
            signals,
            _peer_server: peer_server,
        })
    }

    /// Waits for a signal, then drains: callers get the addresses of other
    /// instances, and open requests are served to their end. Only the drain timeout
    /// cuts off requests, which makes the exit code a failure.
    pub fn wait(mut self) -> ExitCode {
        let _ = self.signals.forever().next();
        info!("daemon: Draining.");
        let clock = self.edges.clock();
        let departed_ms = clock.now_ms();
        let deadline_ms = departed_ms + self.settings.drain_timeout_ms;
        self.shared.lifecycle.depart(deadline_ms, departed_ms);
        let grace_ms = self.settings.depart_grace_ms;
        while !self.shared.lifecycle.try_stop(grace_ms, clock.now_ms())
            && clock.now_ms() < deadline_ms
        {
            thread::sleep(DRAIN_POLL);
        }
        self.shared.lifecycle.stop();
        self.drain_late_requests(deadline_ms);
        release_slots(&*self.edges, &self.shared);
        flush_claims(&*self.edges, &self.shared);
        self.join_controllers();
        let open = self.shared.lifecycle.open_requests();
        if open > 0 {
            warn!("daemon: The drain timeout cut off {open} requests.");
            return ExitCode::FAILURE;
        }
        info!("daemon: Stopped.");
        ExitCode::SUCCESS
    }

    /// Waits for requests that were accepted between the last check of the open
    /// requests and the end of listening.
    fn drain_late_requests(&self, deadline_ms: u64) {
        thread::sleep(LISTENER_STOP_WAIT);
        let clock = self.edges.clock();
        while self.shared.lifecycle.open_requests() > 0 && clock.now_ms() < deadline_ms {
            thread::sleep(DRAIN_POLL);
        }
    }

    /// Waits until the controllers have shut down. The wait has a timeout, so that
    /// a controller that is stuck in a call doesn't keep the process running.
    fn join_controllers(&self) {
        let clock = self.edges.clock();
        let deadline_ms = clock.now_ms() + CONTROLLER_STOP_TIMEOUT_MS;
        let done = || self.controllers.iter().all(JoinHandle::is_finished);
        while !done() && clock.now_ms() < deadline_ms {
            thread::sleep(DRAIN_POLL);
        }
    }
}

fn start_operator_edge(
    settings: &Settings,
    edges: &Arc<LiveEdges>,
    shared: &Arc<SharedState>,
) -> Result<(), Report<StartError>> {
    if let Some(address) = settings.operator_address {
        OperatorServer::start(address, edges, shared)
            .change_context(StartError::OperatorAddress)?;
        info!("daemon: Listening to operators on {address}.");
    }
    if let Some(address) = settings.statsd_address {
        let client = metrics_client(address, settings.caller_address)
            .change_context(StartError::StatsdAddress)?;
        spawn(MetricsReport::new(client), edges.clone(), shared.clone())
            .change_context(StartError::Threads)?;
    }
    Ok(())
}

fn start_controllers(
    settings: &Settings,
    edges: &Arc<LiveEdges>,
    shared: &Arc<SharedState>,
) -> std::io::Result<Vec<JoinHandle<()>>> {
    let gossip = Gossip::new(&settings.seed_peers);
    spawn(ConfigWatch::default(), edges.clone(), shared.clone())?;
    Ok(vec![
        spawn(gossip, edges.clone(), shared.clone())?,
        spawn(EnginePoll::default(), edges.clone(), shared.clone())?,
        spawn(ClaimWriter::default(), edges.clone(), shared.clone())?,
        spawn(CacheEventReader::default(), edges.clone(), shared.clone())?,
        spawn(SlotHolder::default(), edges.clone(), shared.clone())?,
        spawn(StatusWriter::default(), edges.clone(), shared.clone())?,
        spawn(RolloutController::default(), edges.clone(), shared.clone())?,
    ])
}

/// Returns a number that is higher at each start, so that the state of an earlier
/// process on the same address ranks lower. The random part distinguishes two
/// starts in the same millisecond.
fn incarnation(wall_ms: u64) -> u64 {
    let random = u64::from(rand::random::<u16>());
    (wall_ms << INCARNATION_RANDOM_BITS) | random
}
