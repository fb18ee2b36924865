use {
    crate::{
        caller::CallerServer,
        cli::Settings,
        controller::{
            CacheEventReader, ClaimKeeper, ConfigWatch, EnginePoll, Gossip, RolloutKeeper,
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
const LISTENER_END: Duration = Duration::from_millis(250);

/// Time that controllers have to give back what they hold.
const LEAVE_TIMEOUT_MS: u64 = 3_000;

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
    board: Arc<SharedState>,
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
        let mut board = SharedState::new(identity, dispatch);
        board.operator_address = settings.operator_address;
        board.traffic = edges.traffic().clone();
        let board = Arc::new(board);
        board.config.set_stale_after(settings.stale_config_ms);
        let (peer_edges, peer_board) = (edges.clone(), board.clone());
        let peer_server = PeerServer::start(settings.peer_address, move |request| {
            answer(&*peer_edges, &peer_board, &request)
        })
        .change_context(StartError::PeerAddress)?;
        let router = Router::new(edges.clone(), board.clone(), settings.clone());
        CallerServer::start(Arc::new(router)).change_context(StartError::CallerAddress)?;
        let controllers =
            start_controllers(&settings, &edges, &board).change_context(StartError::Threads)?;
        start_operator_edge(&settings, &edges, &board)?;
        info!("daemon: Listening on {}.", settings.caller_address);
        Ok(Daemon {
            edges,
            controllers,
            board,
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
        let give_up_ms = departed_ms + self.settings.drain_timeout_ms;
        self.board.lifecycle.depart(departed_ms);
        let grace_ms = self.settings.depart_grace_ms;
        while !self.board.lifecycle.try_stop(grace_ms, clock.now_ms())
            && clock.now_ms() < give_up_ms
        {
            thread::sleep(DRAIN_POLL);
        }
        self.board.lifecycle.stop();
        self.serve_the_last(give_up_ms);
        release_slots(&*self.edges, &self.board);
        flush_claims(&*self.edges, &self.board);
        self.join_controllers();
        let open = self.board.lifecycle.open_requests();
        if open > 0 {
            warn!("daemon: The drain timeout cut off {open} requests.");
            return ExitCode::FAILURE;
        }
        info!("daemon: Stopped.");
        ExitCode::SUCCESS
    }

    /// Serves what was accepted between the last look at the open requests
    /// and the end of listening.
    fn serve_the_last(&self, give_up_ms: u64) {
        thread::sleep(LISTENER_END);
        let clock = self.edges.clock();
        while self.board.lifecycle.open_requests() > 0 && clock.now_ms() < give_up_ms {
            thread::sleep(DRAIN_POLL);
        }
    }

    /// Waits until the controllers gave back what they hold. One that is
    /// stuck in a call does not keep the process.
    fn join_controllers(&self) {
        let clock = self.edges.clock();
        let give_up_ms = clock.now_ms() + LEAVE_TIMEOUT_MS;
        let done = || self.controllers.iter().all(JoinHandle::is_finished);
        while !done() && clock.now_ms() < give_up_ms {
            thread::sleep(DRAIN_POLL);
        }
    }
}

fn start_operator_edge(
    settings: &Settings,
    edges: &Arc<LiveEdges>,
    board: &Arc<SharedState>,
) -> Result<(), Report<StartError>> {
    if let Some(address) = settings.operator_address {
        OperatorServer::start(address, edges, board).change_context(StartError::OperatorAddress)?;
        info!("daemon: Listening to operators on {address}.");
    }
    if let Some(address) = settings.statsd_address {
        let client = metrics_client(address, settings.caller_address)
            .change_context(StartError::StatsdAddress)?;
        spawn(MetricsReport::new(client), edges.clone(), board.clone())
            .change_context(StartError::Threads)?;
    }
    Ok(())
}

fn start_controllers(
    settings: &Settings,
    edges: &Arc<LiveEdges>,
    board: &Arc<SharedState>,
) -> std::io::Result<Vec<JoinHandle<()>>> {
    let gossip = Gossip::new(&settings.seed_peers);
    spawn(ConfigWatch::default(), edges.clone(), board.clone())?;
    Ok(vec![
        spawn(gossip, edges.clone(), board.clone())?,
        spawn(EnginePoll::default(), edges.clone(), board.clone())?,
        spawn(ClaimKeeper::default(), edges.clone(), board.clone())?,
        spawn(CacheEventReader::default(), edges.clone(), board.clone())?,
        spawn(SlotHolder::default(), edges.clone(), board.clone())?,
        spawn(StatusWriter::default(), edges.clone(), board.clone())?,
        spawn(RolloutKeeper::default(), edges.clone(), board.clone())?,
    ])
}

/// Returns a number that is higher at each start: what is said of the process
/// before this one on the same address must rank lower. The random part tells
/// two starts in one millisecond apart.
fn incarnation(wall_ms: u64) -> u64 {
    let random = u64::from(rand::random::<u16>());
    (wall_ms << INCARNATION_RANDOM_BITS) | random
}
