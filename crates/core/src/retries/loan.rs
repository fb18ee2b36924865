use {
    super::RetrySettings,
    serde::{Deserialize, Serialize},
};

/// Retries asked for, relative to those wanted: a peer may have none.
const LOAN_MARGIN: f64 = 1.5;

/// Content of a datagram between instances about retries that one lends to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoanMessage {
    /// Asks for retries.
    Request(LoanRequest),
    /// Answers a request.
    Grant(LoanGrant),
}

/// Asks for retries to a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Number by which the answer is told from others.
    pub number: u64,
    /// The service.
    pub service: String,
    /// Thousandths of a retry.
    pub milli_retries: u32,
}

/// Retries that an instance has taken out of its own budget for another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanGrant {
    /// Number of the request.
    pub number: u64,
    /// Thousandths of a retry.
    pub milli_retries: u32,
}

impl LoanMessage {
    /// Encodes the message for a datagram.
    ///
    /// # Errors
    ///
    /// Fails if a value can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_allocvec(self)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no message that this build knows.
    pub fn decode(bytes: &[u8]) -> Result<LoanMessage, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

/// When this instance may ask its peers for retries to a service. Peers that have none
/// aren't asked again and again, so the traffic doesn't grow with the retries refused.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Borrowing {
    asked_ms: Option<u64>,
    unanswered: usize,
    has_got_any: bool,
    /// Retries refused since peers were asked.
    refused: u32,
}

impl Borrowing {
    /// Records that a retry is wanted for which none is left, and returns whether peers may
    /// be asked now.
    pub(super) fn record_refused(&mut self, settings: &RetrySettings, now_ms: u64) -> bool {
        self.refused = self.refused.saturating_add(1);
        let pause_ms = match self.has_got_any {
            true => settings.loan_interval_ms,
            false => settings.loan_pause_ms,
        };
        self.asked_ms
            .is_none_or(|asked_ms| now_ms >= asked_ms + pause_ms)
    }

    /// Records that this many peers are asked, and returns for how many retries each.
    pub(super) fn ask(&mut self, peers: usize, now_ms: u64) -> f64 {
        let wanted = f64::from(self.refused.max(1)) * LOAN_MARGIN / peers.max(1) as f64;
        *self = Borrowing {
            asked_ms: Some(now_ms),
            unanswered: peers,
            ..Borrowing::default()
        };
        wanted
    }

    pub(super) fn record_answer(&mut self, retries: f64) {
        self.unanswered = self.unanswered.saturating_sub(1);
        self.has_got_any |= retries > 0.0;
    }

    /// Returns until when an answer may come; `None` if none is awaited.
    pub(super) fn awaits_until(&self, settings: &RetrySettings, now_ms: u64) -> Option<u64> {
        let until_ms = self.asked_ms? + settings.loan_answer_ms;
        (self.unanswered > 0 && now_ms < until_ms).then_some(until_ms)
    }
}
