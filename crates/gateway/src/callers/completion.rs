use {
    super::{AnswerBody, Refusal, request::CallerRequest},
    crate::clock::now_ms,
    http::Response,
};

/// Shortest and longest time after which a refused caller should come back.
/// Spread, so that those refused together don't return together.
const MIN_RETRY_MS: u64 = 150;
const RETRY_JITTER_MS: u64 = 350;

/// Notes an answer that came whole.
pub(super) fn record_complete_answer(request: &CallerRequest, engine: &str) {
    let now_ms = now_ms();
    let mut engines = request.instance.engines.borrow_mut();
    if let Some(known_engine) = engines.get_mut(engine) {
        known_engine.record_received(now_ms);
        let health = &request.instance.settings.choice.health;
        known_engine.health.record_answer(health, now_ms);
    }
}

/// Notes the end of a request that an engine answered.
pub(super) fn record_answered_request(request: &CallerRequest, engine: &str, status: u16) {
    let took_ms = now_ms().saturating_sub(request.arrived_ms);
    let mut crashes = request.instance.crashes.borrow_mut();
    if !crashes.is_empty() {
        crashes.completed(request.identity());
    }
    drop(crashes);
    request.instance.counters.observe("request", took_ms);
    request.instance.counters.count("answered", "engine");
    log::info!(
        "event=answered request={} engine={engine} status={status} took_ms={took_ms}",
        request.id(),
    );
}

/// Notes the end of a request without an engine's answer, and returns what its
/// caller gets.
pub(super) fn refuse(
    request: &CallerRequest,
    refusal: Refusal,
    wait_ms: Option<u64>,
) -> Response<AnswerBody> {
    let sends_retry_time = matches!(
        refusal,
        Refusal::NoEngine | Refusal::OverRate | Refusal::Poison
    );
    let jitter_ms = rand::random_range(0..RETRY_JITTER_MS);
    let retry_after_ms = sends_retry_time.then(|| wait_ms.unwrap_or(MIN_RETRY_MS) + jitter_ms);
    request.instance.counters.count("refused", refusal.reason());
    log::warn!(
        "event=refused request={} reason={} route={} after_ms={} retry_after_ms={retry_after_ms:?} configuration={}",
        request.id(),
        refusal.reason(),
        request.route.name,
        now_ms().saturating_sub(request.arrived_ms),
        request.instance.routes.borrow().version(),
    );
    refusal.response(retry_after_ms)
}
