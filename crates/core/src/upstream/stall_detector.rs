/// Time without a token on any stream after which an upstream counts as
/// stalled. Tokens of a healthy engine are some ten milliseconds apart; only a
/// pause of its process, machine or network stops all of its streams.
const STALL_AFTER_MS: u64 = 1_000;

/// Time for which a stream's report of no token stays valid. Streams report
/// once a second.
const REPORT_VALID_MS: u64 = 1_500;

/// Detects an upstream that sends no token on any of its streams.
///
/// Load pattern: one engine stalls for some seconds. Without detection,
/// requests sent to it wait for the full first-token timeout, and new requests
/// are sent to it because nothing has failed yet.
///
/// The wait of a single request does not distinguish a stall from a queue, and
/// a copy sent to another engine computes the prefix again, which under load
/// creates the queues that it is meant to avoid. Other streams of the upstream
/// do distinguish them, since a long queue does not interrupt running streams.
/// A stream counts only while it is being read: if its caller reads slowly, no
/// token arrives from a healthy engine either.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StallDetector {
    last_token_ms: u64,
    silence_reported_ms: Option<u64>,
}

impl StallDetector {
    /// Records a token of any stream.
    pub fn record_token(&mut self, now_ms: u64) {
        self.last_token_ms = self.last_token_ms.max(now_ms);
        self.silence_reported_ms = None;
    }

    /// Records that a stream was read and no token arrived.
    pub fn record_silence(&mut self, now_ms: u64) {
        self.silence_reported_ms = Some(now_ms);
    }

    /// Returns whether the upstream is stalled: a stream recently reported no
    /// token, and no stream received one for a second.
    pub fn is_stalled(&self, now_ms: u64) -> bool {
        let reported = self
            .silence_reported_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < REPORT_VALID_MS);
        reported && now_ms.saturating_sub(self.last_token_ms) >= STALL_AFTER_MS
    }
}
