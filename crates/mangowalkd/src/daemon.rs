use {
    crate::{
        board::{Board, DispatchSettings, Identity},
        caller::CallerServer,
        cli::Settings,
        controller::{
            CacheEventReader, ClaimKeeper, ConfigWatch, EnginePoll, Gossip, SlotHolder, answer,
            flush_claims, release_slots, spawn,
        },
        edge::{LiveEdges, PeerServer},
        metrics::{MetricsReport, metrics_client},
        operator::OperatorServer,
        serve::Router,
    },
    derive_more::{Display, Error},
    error_stack::{Report, ResultExt},
    log::{info, warn},
    signal_hook::{
        consts::{SIGINT, SIGTERM},
        iterator::Signals,
    },
    std::{process::ExitCode, sync::Arc, thread, time::Duration},
};

/// Pause between two looks at the open requests while draining.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// Time for which a departing instance still answers callers who come with an
/// address that they kept.
const DEPART_GRACE: Duration = Duration::from_millis(500);

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
    board: Arc<Board>,
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
            incarnation: rand::random(),
        };
        let mut board = Board::new(identity, dispatch);
        board.operator_address = settings.operator_address;
        board.traffic = edges.traffic().clone();
        let board = Arc::new(board);
        let (peer_edges, peer_board) = (edges.clone(), board.clone());
        let peer_server = PeerServer::start(settings.peer_address, move |request| {
            answer(&*peer_edges, &peer_board, &request)
        })
        .change_context(StartError::PeerAddress)?;
        let router = Router::new(edges.clone(), board.clone(), settings.clone());
        CallerServer::start(Arc::new(router)).change_context(StartError::CallerAddress)?;
        start_controllers(&settings, &edges, &board).change_context(StartError::Threads)?;
        start_operator_edge(&settings, &edges, &board)?;
        info!("daemon: Listening on {}.", settings.caller_address);
        Ok(Daemon {
            edges,
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
        self.board.life.depart();
        thread::sleep(DEPART_GRACE);
        let mut left_ms = self.settings.drain_timeout_ms;
        while self.board.life.open_requests() > 0 && left_ms > 0 {
            thread::sleep(DRAIN_POLL);
            left_ms = left_ms.saturating_sub(DRAIN_POLL.as_millis() as u64);
        }
        release_slots(&*self.edges, &self.board);
        flush_claims(&*self.edges, &self.board);
        self.board.life.stop();
        let open = self.board.life.open_requests();
        if open > 0 {
            warn!("daemon: The drain timeout cut off {open} requests.");
            return ExitCode::FAILURE;
        }
        info!("daemon: Stopped.");
        ExitCode::SUCCESS
    }
}

fn start_operator_edge(
    settings: &Settings,
    edges: &Arc<LiveEdges>,
    board: &Arc<Board>,
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
    board: &Arc<Board>,
) -> std::io::Result<()> {
    let gossip = Gossip::new(&settings.seed_peers);
    spawn(ConfigWatch::default(), edges.clone(), board.clone())?;
    spawn(gossip, edges.clone(), board.clone())?;
    spawn(EnginePoll::default(), edges.clone(), board.clone())?;
    spawn(ClaimKeeper::default(), edges.clone(), board.clone())?;
    spawn(CacheEventReader::default(), edges.clone(), board.clone())?;
    spawn(SlotHolder::default(), edges.clone(), board.clone())?;
    Ok(())
}
