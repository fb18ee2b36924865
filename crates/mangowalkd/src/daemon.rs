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

/// Pause between two looks at the open requests while draining.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// Time in which the listener takes notice of the stop.
const LISTENER_STOP_WAIT: Duration = Duration::from_millis(250);

/// Time that controllers have to give back what they hold.
const CONTROLLER_STOP_TIMEOUT_MS: u64 = 3_000;

/// Bits of the incarnation below the time of the start.
const INCARNATION_RANDOM_BITS: u32 = 16;

/// Why an instance did not start. Each message names the remedy.
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
    /// The system gives no socket for metrics.
    #[display("--statsd-address can't be sent to; give an IP number of this network.")]
    StatsdAddress,
    /// The system gives no threads or signals.
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
    /// Starts every part.
    ///
    /// # Errors
    ///
    /// Fails where an address is in use or the system gives no threads.
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

    /// Waits for a signal, then drains: callers are sent elsewhere, open
    /// requests end, and no request is cut off before the drain timeout.
    pub fn wait(mut self) -> ExitCode {
        let _ = self.signals.forever().next();
        info!("daemon: Draining.");
        let clock = self.edges.clock();
        let departed_ms = clock.now_ms();
        let deadline_ms = departed_ms + self.settings.drain_timeout_ms;
        self.shared.lifecycle.depart(departed_ms);
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

    /// Serves what was accepted between the last look at the open requests
    /// and the end of listening.
    fn drain_late_requests(&self, deadline_ms: u64) {
        thread::sleep(LISTENER_STOP_WAIT);
        let clock = self.edges.clock();
        while self.shared.lifecycle.open_requests() > 0 && clock.now_ms() < deadline_ms {
            thread::sleep(DRAIN_POLL);
        }
    }

    /// Waits until the controllers gave back what they hold. One that is
    /// stuck in a call does not keep the process.
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

/// Returns a number that is higher at each start: what is said of the process
/// before this one on the same address must rank lower. The random part tells
/// two starts in one millisecond apart.
fn incarnation(wall_ms: u64) -> u64 {
    let random = u64::from(rand::random::<u16>());
    (wall_ms << INCARNATION_RANDOM_BITS) | random
}
