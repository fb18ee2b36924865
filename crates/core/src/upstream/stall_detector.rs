/// Silence of every stream after which an upstream counts as stalled. Two
/// tokens of a healthy engine are some ten milliseconds apart; a pause of its
/// process, its machine or its network is what stops all of its streams.
const STALL_AFTER_MS: u64 = 1_000;

/// Time for which a stream's report that it heard nothing holds. Streams look
/// once a second.
const REPORT_VALID_MS: u64 = 1_500;

/// Whether an upstream has fallen silent to all of its streams.
///
/// Load pattern: one engine stalls for some seconds. Without this, requests
/// sent to it wait for the whole timeout of the first token, and new ones
/// follow them, since nothing has failed yet.
///
/// The wait of one request can't tell a stall from a queue, and a copy sent
/// elsewhere computes the prefix again: under load that makes the queues from
/// which it flees. The streams beside it can tell, since a long queue does not
/// silence them. A stream counts only while it listens: one whose caller reads
/// slowly hears nothing of a healthy engine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StallDetector {
    last_token_ms: u64,
    silence_reported_ms: Option<u64>,
}

impl StallDetector {
    /// Notes a token of any stream.
    pub fn record_token(&mut self, now_ms: u64) {
        self.last_token_ms = self.last_token_ms.max(now_ms);
        self.silence_reported_ms = None;
    }

    /// Notes that a stream listened and heard nothing.
    pub fn record_silence(&mut self, now_ms: u64) {
        self.silence_reported_ms = Some(now_ms);
    }

    /// Returns whether the upstream is stalled.
    pub fn is_stalled(&self, now_ms: u64) -> bool {
        let reported = self
            .silence_reported_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < REPORT_VALID_MS);
        reported && now_ms.saturating_sub(self.last_token_ms) >= STALL_AFTER_MS
    }
}
