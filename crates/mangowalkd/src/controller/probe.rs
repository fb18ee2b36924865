use mangowalk_core::{
    config::EngineRecord,
    edge::{Edges, EngineEvents, Engines},
    engine::{GeneratePayload, GenerateRequest},
};

/// Longest silence of an engine within a probe. It is shorter than a lease,
/// so that a mute engine doesn't cost the lease.
const EVENT_TIMEOUT_MS: u64 = 1_500;

/// Events that are read before a probe counts as failed.
const MAX_EVENTS: usize = 8;

/// What a probe asks. It belongs to no team, so that it shares no cache.
const PROMPT: &str = "Answer with one word.";

/// Lowest priority: callers go first.
const PRIORITY: u8 = 9;

/// Lets an engine generate a token, and returns whether the answer is whole
/// and of the right version and start.
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
    // A token, the final event, and what else an engine may interleave.
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
