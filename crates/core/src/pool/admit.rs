use super::KnownEngine;

/// When a request is refused rather than left waiting at an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmitSettings {
    /// Wait, in times of the target, that an ordinary request may expect.
    ///
    /// While more comes than the engines can read, a longer queue serves not
    /// one request more: it makes all of them late, and engines that change
    /// their weights take as long to finish.
    pub max_wait_factor: f64,
    /// The same for a request of the first rank. Engines let it pass the
    /// others, so what is queued there matters less to it.
    pub first_max_wait_factor: f64,
    /// Shortest and longest time after which a refused caller may come back.
    pub min_retry_ms: u64,
    /// See above.
    pub max_retry_ms: u64,
}

impl Default for AdmitSettings {
    fn default() -> AdmitSettings {
        AdmitSettings {
            max_wait_factor: 0.8,
            first_max_wait_factor: 3.0,
            min_retry_ms: 200,
            max_retry_ms: 1_500,
        }
    }
}

/// Prompt tokens that an engine reads in a millisecond before any was seen.
const INITIAL_TOKENS_PER_MS: f64 = 40.0;

/// Bounds on what is believed of the rate.
const MIN_TOKENS_PER_MS: f64 = 5.0;
const MAX_TOKENS_PER_MS: f64 = 1_000.0;

/// Weight of one new sample of the rate.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Shortest prompt by which the rate is measured; shorter ones take about as
/// long as an engine's single step.
const MIN_SAMPLE_TOKENS: u32 = 1_500;

/// How fast engines read prompts, learned from their first events.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillRate {
    tokens_per_ms: f64,
}

impl Default for PrefillRate {
    fn default() -> PrefillRate {
        PrefillRate {
            tokens_per_ms: INITIAL_TOKENS_PER_MS,
        }
    }
}

impl PrefillRate {
    /// Returns the tokens that an engine reads in a millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        self.tokens_per_ms
    }

    /// Notes how long an engine that had nothing else to read took for a
    /// prompt.
    pub fn record(&mut self, tokens: u32, took_ms: u64) {
        if tokens < MIN_SAMPLE_TOKENS || took_ms == 0 {
            return;
        }
        let tokens_per_ms =
            (f64::from(tokens) / took_ms as f64).clamp(MIN_TOKENS_PER_MS, MAX_TOKENS_PER_MS);
        self.tokens_per_ms =
            self.tokens_per_ms * (1.0 - SAMPLE_WEIGHT) + tokens_per_ms * SAMPLE_WEIGHT;
    }

    /// Returns how long an engine takes to read so many tokens.
    pub fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens / self.tokens_per_ms
    }
}

/// Returns after how many milliseconds a caller should come back whose
/// request would wait too long at the best engine; `None` where it need not.
pub fn retry_after_ms(
    best: &KnownEngine,
    rate: &PrefillRate,
    settings: &AdmitSettings,
    own_tokens: u64,
    target_ms: u64,
    is_first: bool,
) -> Option<u64> {
    let factor = if is_first {
        settings.first_max_wait_factor
    } else {
        settings.max_wait_factor
    };
    let max_wait_ms = factor * target_ms as f64;
    let wait_ms = rate.prefill_ms(f64::from(best.load().prefill_tokens) + own_tokens as f64);
    if wait_ms <= max_wait_ms {
        return None;
    }
    let retry_ms = (wait_ms - max_wait_ms / 2.0) as u64;
    Some(retry_ms.clamp(settings.min_retry_ms, settings.max_retry_ms))
}
