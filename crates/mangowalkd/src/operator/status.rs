use {
    crate::shared_state::{KnownEngine, KnownPeer, SharedState},
    mangowalk_core::{
        burn::InstanceBurn,
        config::{EngineRecord, ServiceRecord, View},
        status::{InstanceStatus, PeerStatus, Phase, RefusedRecord, UpstreamStatus},
    },
};

/// Time after an engine's last report from which it is shown as silent, and no
/// longer in the state that it reported.
const SILENT_MS: u64 = 5_000;

/// Returns the status of the instance.
pub(super) fn status(shared: &SharedState, now_ms: u64) -> InstanceStatus {
    let view = shared.config.view();
    let id = &shared.identity;
    InstanceStatus {
        caller_address: id.caller_address,
        peer_address: id.peer_address,
        failure_domain: id.failure_domain.clone(),
        incarnation: id.incarnation,
        program_version: env!("CARGO_PKG_VERSION").to_owned(),
        phase: phase(shared, &view),
        revision: view.revision,
        refused: shared.config.read(RefusedRecord::of),
        open_requests: shared.lifecycle.open_requests(),
        queued: shared.dispatch.queued(),
        slots: shared.limits.slots(now_ms),
        upstreams: upstreams(shared, &view, now_ms),
        peers: shared
            .peers
            .reachable()
            .iter()
            .map(|p| peer_status(p, now_ms))
            .collect(),
        control: shared.traffic.counts(),
    }
}

fn phase(shared: &SharedState, view: &View) -> Phase {
    if shared.lifecycle.is_departing() {
        return Phase::Departing;
    }
    if view.revision == 0 {
        return Phase::Starting;
    }
    Phase::Ready
}

fn upstreams(shared: &SharedState, view: &View, now_ms: u64) -> Vec<UpstreamStatus> {
    let known = shared.engines.snapshot();
    let engines = view
        .engines
        .values()
        .map(|e| engine_status(e, known.get(&e.name), now_ms));
    engines
        .chain(view.services.values().map(service_status))
        .collect()
}

fn engine_status(
    record: &EngineRecord,
    known: Option<&KnownEngine>,
    now_ms: u64,
) -> UpstreamStatus {
    let state = known.and_then(|s| s.state.as_ref());
    let state_name = match (known, state) {
        (None, _) => "unseen",
        (Some(_), None) => "silent",
        (Some(s), _) if now_ms.saturating_sub(s.polled_ms) > SILENT_MS => "silent",
        (_, Some(s)) if s.loading => "loading",
        _ => "serving",
    };
    UpstreamStatus {
        name: record.name.clone(),
        address: record.address,
        serves: record.model.clone(),
        departing: record.departing,
        state: state_name.to_owned(),
        version: state.map(|s| s.version.clone()),
        in_flight: known.map_or(0, |s| s.in_flight),
        running: state.map_or(0, |s| s.load.running),
        waiting: state.map_or(0, |s| s.load.waiting),
    }
}

/// Returns the status of a service. It holds only the record, because services
/// send no reports.
fn service_status(record: &ServiceRecord) -> UpstreamStatus {
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

fn peer_status(known: &KnownPeer, now_ms: u64) -> PeerStatus {
    PeerStatus {
        caller_address: known.view.caller_address,
        failure_domain: known.view.failure_domain.clone(),
        ready: known.view.ready,
        departing: known.view.departing,
        silent_ms: now_ms.saturating_sub(known.last_alive_ms),
    }
}

/// Returns the counts of each team. They have a separate path, because they take
/// hundreds of kilobytes for 230 teams and the status is read far more often.
pub(super) fn burn(shared: &SharedState, now_ms: u64) -> InstanceBurn {
    let view = shared.config.view();
    let mut teams = shared.burn.team_burns(now_ms);
    for team in &mut teams {
        team.tokens_per_s = view.rates.get(&team.team).map_or(0, |r| r.tokens_per_s);
    }
    InstanceBurn {
        caller_address: shared.identity.caller_address,
        teams,
    }
}
