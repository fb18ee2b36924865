use mangowalk_core::{
    config::EngineRecord,
    edge::{Edges, EngineEvents, Engines},
    engine::{GeneratePayload, GenerateRequest},
};

/// Maximum wait for each event of a probe. It is shorter than a lease, so that
/// the lease isn't lost to an engine that sends nothing.
const EVENT_TIMEOUT_MS: u64 = 1_500;

/// Maximum number of events that are read before a probe counts as failed.
const MAX_EVENTS: usize = 8;

/// Prompt of a probe. It belongs to no team, so that it shares no cache.
const PROMPT: &str = "Answer with one word.";

/// Lowest priority, so that requests of callers go first.
const PRIORITY: u8 = 9;

/// Makes an engine generate one token. Returns whether the answer is complete
/// and has this version and incarnation.
pub(super) fn probe<E: Edges>(
    edges: &E,
    engine: &EngineRecord,
    version: &str,
    incarnation: u64,
) -> bool {
    let request = GenerateRequest {
        request_id: format!("probe-{:016x}", rand::random::<u64>()),
        attempt: 1,
        cache_salt: format!("probe/{}/{version}", engine.model),
        model: engine.model.clone(),
        version: version.to_owned(),
        incarnation,
        prompt: PROMPT.to_owned(),
        max_tokens: 1,
        generated: Vec::new(),
        priority: PRIORITY,
    };
    let mut events = edges.engines().generate(engine.address, &request);
    let mut tokens = 0;
    // One token, the final event, and any events that an engine interleaves.
    for _ in 0..MAX_EVENTS {
        let Ok(Some(event)) = events.wait(EVENT_TIMEOUT_MS) else {
            return false;
        };
        match event.payload {
            GeneratePayload::Token { .. } => tokens += 1,
            GeneratePayload::Done {
                version: served,
                incarnation: answered,
                ..
            } => return tokens > 0 && served == version && answered == incarnation,
            GeneratePayload::Failed { .. } => return false,
        }
    }
    false
}
