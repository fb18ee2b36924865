use {
    crate::shared_state::{KnownEngine, KnownPeer, SharedState},
    mangowalk_core::{
        burn::InstanceBurn,
        config::{EngineRecord, ServiceRecord, View},
        status::{InstanceStatus, PeerStatus, Phase, RefusedRecord, UpstreamStatus},
    },
};

/// Silence after which what an engine reported is no longer shown as its
/// state.
const SILENT_MS: u64 = 5_000;

/// Returns the state of the instance.
pub(super) fn status(board: &SharedState, now_ms: u64) -> InstanceStatus {
    let view = board.config.view();
    let id = &board.identity;
    InstanceStatus {
        caller_address: id.caller_address,
        peer_address: id.peer_address,
        failure_domain: id.failure_domain.clone(),
        incarnation: id.incarnation,
        program_version: env!("CARGO_PKG_VERSION").to_owned(),
        phase: phase(board, &view),
        revision: view.revision,
        refused: board.config.read(RefusedRecord::of),
        open_requests: board.lifecycle.open_requests(),
        queued: board.dispatch.queued(),
        slots: board.limits.slots(now_ms),
        upstreams: upstreams(board, &view, now_ms),
        peers: board
            .peers
            .reachable()
            .iter()
            .map(|p| peer(p, now_ms))
            .collect(),
        control: board.traffic.counts(),
    }
}

fn phase(board: &SharedState, view: &View) -> Phase {
    if board.lifecycle.is_departing() {
        return Phase::Departing;
    }
    if view.revision == 0 {
        return Phase::Starting;
    }
    Phase::Ready
}

fn upstreams(board: &SharedState, view: &View, now_ms: u64) -> Vec<UpstreamStatus> {
    let sights = board.engines.snapshot();
    let engines = view
        .engines
        .values()
        .map(|e| engine(e, sights.get(&e.name), now_ms));
    engines.chain(view.services.values().map(service)).collect()
}

fn engine(record: &EngineRecord, sight: Option<&KnownEngine>, now_ms: u64) -> UpstreamStatus {
    let state = sight.and_then(|s| s.state.as_ref());
    let word = match (sight, state) {
        (None, _) => "unseen",
        (Some(_), None) => "silent",
        (Some(s), _) if now_ms.saturating_sub(s.seen_ms) > SILENT_MS => "silent",
        (_, Some(s)) if s.loading => "loading",
        _ => "serving",
    };
    UpstreamStatus {
        name: record.name.clone(),
        address: record.address,
        serves: record.model.clone(),
        departing: record.departing,
        state: word.to_owned(),
        version: state.map(|s| s.version.clone()),
        in_flight: sight.map_or(0, |s| s.in_flight),
        running: state.map_or(0, |s| s.load.running),
        waiting: state.map_or(0, |s| s.load.waiting),
    }
}

/// Services report nothing, so only their record is known.
fn service(record: &ServiceRecord) -> UpstreamStatus {
    UpstreamStatus {
        name: record.name.clone(),
        address: record.address,
        serves: record.service.clone(),
        departing: record.departing,
        state: "service".to_owned(),
        version: None,
        in_flight: 0,
        running: 0,
        waiting: 0,
    }
}

fn peer(sight: &KnownPeer, now_ms: u64) -> PeerStatus {
    PeerStatus {
        caller_address: sight.view.caller_address,
        failure_domain: sight.view.failure_domain.clone(),
        ready: sight.view.ready,
        departing: sight.view.departing,
        silent_ms: now_ms.saturating_sub(sight.last_alive_ms),
    }
}

/// Returns what the instance counted. It has a path of its own: at 230 teams it
/// is hundreds of kilobytes, and the status is asked for far more often.
pub(super) fn burn(board: &SharedState, now_ms: u64) -> InstanceBurn {
    let view = board.config.view();
    let mut teams = board.burn.publish(now_ms);
    for team in &mut teams {
        team.tokens_per_s = view.rates.get(&team.team).map_or(0, |r| r.tokens_per_s);
    }
    InstanceBurn {
        caller_address: board.identity.caller_address,
        teams,
    }
}
