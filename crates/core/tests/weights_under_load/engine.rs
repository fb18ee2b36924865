/// A request at an engine.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub(super) first_event_ms: f64,
    pub(super) end_ms: f64,
    pub(super) tokens: f64,
    pub(super) is_long: bool,
    /// Credit that it earns.
    pub(super) credit: f64,
}

/// Time in milliseconds after which instances know of a pause or of its end.
const NOTICE_MS: u64 = 100;

/// State of a model engine.
#[derive(Debug, Clone, Default)]
pub(super) struct Engine {
    pub(super) version: u64,
    pub(super) is_lost: bool,
    pub(super) runs: Vec<Run>,
    /// Shared parts of prompts that it has read under its weights, a bit each.
    pub(super) parts: u64,
    /// Time until which it reads the prompts that it has.
    pub(super) reads_until_ms: f64,
    pub(super) paused_since_ms: Option<u64>,
    /// When the last pause was ended.
    pub(super) resumed_ms: u64,
    /// Version that it has been ordered to load, and since when.
    pub(super) order: Option<(u64, u64)>,
    /// Rest of the load in milliseconds at full speed.
    pub(super) load_left_ms: f64,
    /// Maximum number of concurrent loads during this one; `None` if runs had to
    /// finish first.
    pub(super) concurrent: Option<usize>,
    /// Time at which the end of its load is reported.
    pub(super) reported_ms: Option<u64>,
    /// Version as last reported.
    pub(super) known_version: u64,
    /// Requests, those that must finish, and unread tokens as last reported.
    pub(super) known: (u32, u32, f64),
}

impl Engine {
    /// Returns whether it loads weights at a time.
    pub(super) fn is_loading(&self) -> bool {
        self.order.is_some() && self.reported_ms.is_none() && self.runs.is_empty()
    }

    /// Returns whether new requests are sent to it.
    pub(super) fn is_available(&self, now_ms: u64) -> bool {
        let is_resumed = now_ms >= self.resumed_ms + NOTICE_MS;
        let is_paused = match self.paused_since_ms {
            Some(since_ms) => now_ms >= since_ms + NOTICE_MS,
            None => !is_resumed,
        };
        !self.is_lost && !is_paused && self.order.is_none()
    }

    /// Returns the tokens that it has yet to read.
    pub(super) fn unread_tokens(&self, tokens_per_ms: f64, now_ms: u64) -> f64 {
        (self.reads_until_ms - now_ms as f64).max(0.0) * tokens_per_ms
    }

    /// Takes the state that a heartbeat reports.
    pub(super) fn report(&mut self, tokens_per_ms: f64, now_ms: u64) {
        let long = self.runs.iter().filter(|run| run.is_long).count();
        let unread = self.unread_tokens(tokens_per_ms, now_ms);
        self.known = (self.runs.len() as u32, long as u32, unread);
    }
}
