use {
    super::{
        attempt::{AnswerSource, EngineAnswer, Outcome},
        guards::LoadGuard,
        plan::SendPlan,
        request::CallerRequest,
    },
    crate::{
        clock::now_ms,
        instance::LostRequest,
        rollouts::record_loss,
        upstreams::{Answer, ProbeReason, SendError, probe_engine},
    },
    http::StatusCode,
    mangowalk_core::{crash_part::reported_parts, pool::EngineEntry},
};

/// Pause of new requests to an engine that rejected one. Loading weights takes
/// an engine a few hundred milliseconds.
const REFUSED_PAUSE_MS: u64 = 150;

/// Checks that an answer was made by the engine for this request, and updates
/// the engine's state from it.
pub(super) fn classify_answer(
    request: &CallerRequest,
    answer: Answer,
    load_guard: LoadGuard,
    engine: EngineEntry,
    plan: &SendPlan,
) -> Outcome {
    let head = &answer.head;
    let status = answer.parts.status;
    if let Some(rejections_per_s) = head.brittle_rejections_per_s {
        let mut brittle = request.instance.brittle.borrow_mut();
        let settings = &request.instance.settings.brittle;
        brittle.record_warning(&engine.service, rejections_per_s, settings, now_ms());
    }
    let (incarnation, sent_ms) = (&engine.incarnation, load_guard.began_ms());
    if head.is_signed || head.not_run {
        let instance = &request.instance;
        instance.record_engine_limit(incarnation, head.limit_per_s, sent_ms, now_ms());
    }
    if head.not_run {
        return classify_rejection(request, &engine, &answer, plan);
    }
    let is_for_request = head.request_id.as_deref() == Some(request.id());
    let implies_not_run = matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    );
    // An answer without the engine's stamp may come from anywhere. A status that
    // means "not run" to callers can't be forwarded for a request that may have
    // run.
    if !is_for_request || !head.is_signed || head.is_encoded || implies_not_run {
        record_engine_failure(request, &engine, "foreign_answer", None);
        return Outcome::MayHaveRun(engine.incarnation.id);
    }
    let now_ms = now_ms();
    let mut engines = request.instance.engines.borrow_mut();
    if head.engine.as_ref() == Some(&engine.incarnation.id) {
        engines.record_own_answer(&engine.incarnation);
    }
    if let Some(known_engine) = engines.get_start_mut(&engine.incarnation) {
        known_engine.record_received(now_ms);
        if let (Some(model), Some(version)) = (&request.requirements.model, head.version)
            && version > known_engine.version(model)
        {
            known_engine.set_version(model, version);
        }
        let health = &request.instance.settings.choice.health;
        if status.is_server_error() {
            known_engine.health.record_failure(health, now_ms);
        }
    }
    drop(engines);
    if status.is_success() {
        for (part, _) in request.requirements.shared_parts() {
            let id = &engine.incarnation.id;
            request.instance.record_part(part, id, now_ms);
        }
    }
    Outcome::Answer(Box::new(EngineAnswer {
        sent_ms: load_guard.began_ms(),
        body_began_ms: None,
        answer,
        source: AnswerSource::Engine {
            entry: Box::new(engine),
            load_guard,
        },
    }))
}

/// Handles an answer that says that the engine did not run the request: updates
/// the engine's state and pauses new requests to it where needed.
fn classify_rejection(
    request: &CallerRequest,
    engine: &EngineEntry,
    answer: &Answer,
    plan: &SendPlan,
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
    if let Some(known_engine) = engines.get_start_mut(&engine.incarnation) {
        known_engine.record_received(now_ms);
        if reason == "full" {
            let instance = &request.instance;
            instance.brittle.borrow_mut().record_rejection(
                known_engine,
                instance.instance_count(),
                &instance.settings.brittle,
                now_ms,
            );
        }
        match (reason, &request.requirements.model) {
            // It isn't the engine that answered.
            ("other_engine", _) => {}
            ("other_weights", Some(model)) => {
                let newest = request.version_bounds(now_ms).newest;
                let version = answer.head.version.unwrap_or(newest);
                if version > plan.version {
                    known_engine.set_version(model, version);
                } else {
                    known_engine.pause_after_refusal(REFUSED_PAUSE_MS, now_ms);
                }
            }
            // The rest that it has asked for takes the place of a pause.
            _ if answer
                .head
                .retry_after_ms
                .is_some_and(|rest_ms| rest_ms > 0) => {}
            _ => known_engine.pause_after_refusal(REFUSED_PAUSE_MS, now_ms),
        }
    }
    drop(engines);
    if reason == "other_engine" {
        request.instance.record_replaced(engine, now_ms);
    }
    if reason == "full" {
        record_loss(&request.instance, engine);
    }
    request.instance.counters.count("engine_rejected", reason);
    log::info!(
        "event=rejected request={} engine={} status={} reason={reason} asks_rest_ms={:?} expected_version={} version={:?}",
        request.id(),
        engine.incarnation.id,
        status.as_u16(),
        answer.head.retry_after_ms,
        plan.version,
        answer.head.version,
    );
    Outcome::NotRun(engine.incarnation.id.clone())
}

/// Records a send that got no answer. Returns [`Outcome::NotSent`] or
/// [`Outcome::MayHaveRun`], depending on whether the request may have run.
pub(super) fn classify_send_error(
    request: &CallerRequest,
    engine: &EngineEntry,
    error: &SendError,
) -> Outcome {
    log::warn!(
        "event=send_failed request={} engine={} error=\"{error}\"",
        request.id(),
        engine.incarnation.id,
    );
    match error {
        SendError::NotSent { .. } => {
            record_engine_failure(request, engine, "not_connected", None);
            Outcome::NotSent(engine.incarnation.id.clone())
        }
        SendError::Lost { .. } => {
            record_engine_failure(request, engine, "lost", None);
            Outcome::MayHaveRun(engine.incarnation.id.clone())
        }
        SendError::Barred(barrier) => {
            let instance = &request.instance;
            instance.counters.count("engine_barred", barrier.label());
            Outcome::NotSent(engine.incarnation.id.clone())
        }
        SendError::Silent => {
            record_engine_failure(request, engine, "fell_silent", None);
            Outcome::MayHaveRun(engine.incarnation.id.clone())
        }
    }
}

/// Maximum number of parts of a prompt in a log line.
const MAX_LOGGED_PARTS: usize = 8;

/// Returns the last parts of the prompt that other requests may share, for a log line.
fn part_names(request: &CallerRequest) -> String {
    let parts = request.requirements.shared_part_ids();
    let skipped = parts.len().saturating_sub(MAX_LOGGED_PARTS);
    let names: Vec<String> = parts.skip(skipped).map(|id| format!("{id:x}")).collect();
    names.join(",")
}

/// Counts and logs a failure of an engine and records it in the engine's health.
///
/// If the answer was lost before its head arrived, or a stream broke off or ended within or
/// before its events, or the engine was gone at its end, the request is also recorded as a
/// possible cause of a crash. The engine is probed, except after an answer that isn't its own. While this
/// instance reaches no engine of the service, a failure says nothing of the engine and is
/// only logged. `body_began_ms` is when the body of the answer began, if it did.
pub(super) fn record_engine_failure(
    request: &CallerRequest,
    engine: &EngineEntry,
    reason: &'static str,
    body_began_ms: Option<u64>,
) {
    let now_ms = now_ms();
    request.instance.counters.count("engine_failed", reason);
    log::warn!(
        "event=engine_failed request={} engine={} reason={reason} wrote_for_ms={:?} shared_parts={}",
        request.id(),
        engine.incarnation.id,
        body_began_ms.map(|began_ms| now_ms.saturating_sub(began_ms)),
        part_names(request),
    );
    let paths = request.instance.service_paths.borrow();
    if paths.is_lost(&engine.service) {
        return;
    }
    drop(paths);
    let mut engines = request.instance.engines.borrow_mut();
    if engines.get(&engine.incarnation.id).is_none() {
        return;
    }
    if let Some(known_engine) = engines.get_start_mut(&engine.incarnation) {
        let health = &request.instance.settings.choice.health;
        known_engine.health.record_failure(health, now_ms);
    }
    drop(engines);
    if reason != "not_connected" {
        record_loss(&request.instance, engine);
    }
    let is_connection_lost = matches!(
        reason,
        "lost" | "broken_off" | "half_event" | "no_event" | "ended_refused" | "ended_replaced"
    );
    let is_request_lost = is_connection_lost || reason == "fell_silent";
    if is_request_lost {
        let written_ms = request.instance.settings.crash_parts.written_ms;
        let has_written = body_began_ms.is_some_and(|began_ms| now_ms >= began_ms + written_ms);
        let is_suspect = is_connection_lost && !has_written;
        let suspect_parts = match is_suspect {
            true => reported_parts(&request.requirements),
            false => Vec::new(),
        };
        request
            .instance
            .crashes
            .borrow_mut()
            .record_lost(LostRequest {
                engine: engine.incarnation.clone(),
                identity: request.identity(),
                suspect_parts,
                lost_ms: now_ms,
            });
    }
    let probe_reason = match is_request_lost {
        true => ProbeReason::RequestLost,
        false => ProbeReason::Quiet,
    };
    if reason != "foreign_answer" {
        probe_engine(&request.instance, &request.pool, engine, probe_reason);
    }
}
