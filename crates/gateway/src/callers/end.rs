use {
    super::{AnswerBody, Refusal, request::CallerRequest},
    crate::clock::now_ms,
    http::Response,
};

/// Shortest and longest time after which a refused caller should come back.
/// Spread, so that those refused together don't return together.
const RETRY_LEAST_MS: u64 = 150;
const RETRY_SPREAD_MS: u64 = 350;

/// Notes an answer that came whole.
pub(super) fn good(request: &CallerRequest, engine: &str) {
    let now_ms = now_ms();
    let mut engines = request.instance.engines.borrow_mut();
    if let Some(belief) = engines.get_mut(engine) {
        belief.record_received(now_ms);
        let health = &request.instance.settings.choice.health;
        belief.health.record_answer(health, now_ms);
    }
}

/// Notes the end of a request that an engine answered.
pub(super) fn done(request: &CallerRequest, engine: &str, status: u16) {
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
    let promises = matches!(
        refusal,
        Refusal::NoEngine | Refusal::OverRate | Refusal::Poison
    );
    let spread_ms = rand::random_range(0..RETRY_SPREAD_MS);
    let retry_after_ms = promises.then(|| wait_ms.unwrap_or(RETRY_LEAST_MS) + spread_ms);
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
