use {
    super::{
        attempt::{Answered, Outcome},
        plan::Plan,
        request::CallerRequest,
        work::Work,
    },
    crate::{
        clock::now_ms,
        upstreams::{Answer, SendError, doubt},
    },
    http::StatusCode,
    mangowalk_core::pool::EngineEntry,
};

/// Time for which an engine that refused a request gets no further one.
/// Loading weights takes it a few hundred milliseconds.
const REFUSED_PAUSE_MS: u64 = 150;

/// Decides whether an answer is the engine's own and for this request.
pub(super) fn judge(
    request: &CallerRequest,
    answer: Answer,
    work: Work,
    engine: EngineEntry,
    plan: &Plan,
) -> Outcome {
    let head = &answer.head;
    let status = answer.parts.status;
    if head.not_run {
        return rejected(request, &engine, &answer, plan);
    }
    let is_ours = head.request_id.as_deref() == Some(request.id());
    let promises = matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    );
    // Without the engine's signature the bytes may be anybody's; and a status
    // that promises "not run" can't be passed on for a request that has run.
    if !is_ours || !head.is_signed || head.is_encoded || promises {
        note(request, &engine, "foreign_answer");
        return Outcome::Unknown(engine.incarnation.id);
    }
    let now_ms = now_ms();
    let mut engines = request.instance.engines.borrow_mut();
    if let Some(belief) = engines.get_mut(&engine.incarnation.id) {
        belief.record_received(now_ms);
        if let (Some(model), Some(version)) = (&request.need.model, head.version)
            && version > belief.version(model)
        {
            belief.set_version(model, version);
        }
        let health = &request.instance.settings.choice.health;
        if status.is_server_error() {
            belief.health.record_failure(health, now_ms);
        }
    }
    drop(engines);
    if status.is_success() {
        for (part, _) in request.need.shared_parts() {
            let id = &engine.incarnation.id;
            request.instance.record_part(part, id, now_ms);
        }
    }
    Outcome::Answer(Box::new(Answered {
        answer,
        work,
        engine,
    }))
}

fn rejected(
    request: &CallerRequest,
    engine: &EngineEntry,
    answer: &Answer,
    plan: &Plan,
) -> Outcome {
    let now_ms = now_ms();
    let status = answer.parts.status;
    let mut engines = request.instance.engines.borrow_mut();
    let reason = if status == StatusCode::MISDIRECTED_REQUEST {
        let other = answer.head.engine.as_deref();
        if other.is_some_and(|other| other != engine.incarnation.id) {
            "other_engine"
        } else {
            "other_weights"
        }
    } else {
        "full"
    };
    if let Some(belief) = engines.get_mut(&engine.incarnation.id) {
        belief.record_received(now_ms);
        match (reason, &request.need.model) {
            ("other_engine", _) => belief.leaving_since_ms = Some(now_ms),
            ("other_weights", Some(model)) => {
                let named = request.wanted(now_ms).newest;
                let version = answer.head.version.unwrap_or(named);
                if version > plan.version {
                    belief.set_version(model, version);
                } else {
                    belief.pause_after_refusal(REFUSED_PAUSE_MS, now_ms);
                }
            }
            _ => belief.pause_after_refusal(REFUSED_PAUSE_MS, now_ms),
        }
    }
    drop(engines);
    request.instance.counters.count("engine_rejected", reason);
    log::info!(
        "event=rejected request={} engine={} status={} reason={reason} expected_version={} version={:?}",
        request.id(),
        engine.incarnation.id,
        status.as_u16(),
        plan.version,
        answer.head.version,
    );
    Outcome::NotRun(engine.incarnation.id.clone())
}

/// Notes a send without an answer, and tells whether the request may have run.
pub(super) fn failed(request: &CallerRequest, engine: &EngineEntry, error: &SendError) -> Outcome {
    log::warn!(
        "event=send_failed request={} engine={} error=\"{error}\"",
        request.id(),
        engine.incarnation.id,
    );
    match error {
        SendError::NotSent { .. } => {
            note(request, engine, "not_connected");
            Outcome::NotRun(engine.incarnation.id.clone())
        }
        SendError::Lost { .. } => {
            note(request, engine, "lost");
            Outcome::Unknown(engine.incarnation.id.clone())
        }
    }
}

/// Notes a failure of an engine.
pub(super) fn note(request: &CallerRequest, engine: &EngineEntry, reason: &'static str) {
    let now_ms = now_ms();
    request.instance.counters.count("engine_failed", reason);
    log::warn!(
        "event=engine_failed request={} engine={} reason={reason}",
        request.id(),
        engine.incarnation.id,
    );
    let mut engines = request.instance.engines.borrow_mut();
    let Some(belief) = engines.get_mut(&engine.incarnation.id) else {
        return;
    };
    let health = &request.instance.settings.choice.health;
    belief.health.record_failure(health, now_ms);
    drop(engines);
    if matches!(reason, "lost" | "broken_off" | "half_event") {
        let identity = request.identity();
        let mut crashes = request.instance.crashes.borrow_mut();
        crashes.lost(&engine.incarnation, identity, now_ms);
    }
    if reason != "foreign_answer" {
        doubt(&request.instance, &request.pool, engine);
    }
}
