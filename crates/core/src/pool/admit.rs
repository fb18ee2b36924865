use super::KnownEngine;

/// When a request is refused rather than queued at an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmitSettings {
    /// Maximum expected wait of an ordinary request, as a multiple of its
    /// target time.
    ///
    /// Under overload, a longer queue does not serve more requests: it makes
    /// all of them late, and engines that change their weights take longer to
    /// drain.
    pub max_wait_factor: f64,
    /// The same for a request of the highest priority. Engines let it overtake
    /// the others, so queued work delays it less.
    pub first_priority_max_wait_factor: f64,
    /// Minimum time after which a refused caller may retry.
    pub min_retry_ms: u64,
    /// Maximum time after which a refused caller is asked to retry.
    pub max_retry_ms: u64,
}

impl Default for AdmitSettings {
    fn default() -> AdmitSettings {
        AdmitSettings {
            max_wait_factor: 0.8,
            first_priority_max_wait_factor: 3.0,
            min_retry_ms: 200,
            max_retry_ms: 1_500,
        }
    }
}

/// Assumed prefill rate of an engine before the first sample.
const INITIAL_TOKENS_PER_MS: f64 = 40.0;

/// Bounds on one sample of the prefill rate.
const MIN_TOKENS_PER_MS: f64 = 5.0;
const MAX_TOKENS_PER_MS: f64 = 1_000.0;

/// Weight of one sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Minimum number of prompt tokens of a sample. Shorter prompts take about as
/// long as a single step of the engine and do not show its rate.
const MIN_SAMPLE_TOKENS: u32 = 1_500;

/// Weight of a sample that is slower than assumed, as a share of that of others: a prompt that
/// this instance doesn't know of may have been read before.
const SLOWER_SAMPLE_RATIO: f64 = 0.5;

/// Number of samples that the initial rate counts for.
const INITIAL_SAMPLES: f64 = 0.5;

/// How long an engine that tells its pace took to read a prompt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillSample {
    /// Prompt tokens that the engine had to read.
    pub tokens: u32,
    /// Time until the first event.
    pub took_ms: u64,
    /// By how much longer work took than usual.
    pub slowdown: f64,
}

/// Moving average of the rate at which engines read prompts, measured by the
/// time to the first event.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillRate {
    tokens_per_ms: f64,
    paced_samples: u32,
}

impl Default for PrefillRate {
    fn default() -> PrefillRate {
        PrefillRate {
            tokens_per_ms: INITIAL_TOKENS_PER_MS,
            paced_samples: 0,
        }
    }
}

impl PrefillRate {
    /// Returns the number of prompt tokens that an engine reads per
    /// millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        self.tokens_per_ms
    }

    /// Records the prefill time of a prompt at an engine that had no other
    /// prompt to read.
    pub fn record(&mut self, tokens: u32, took_ms: u64) {
        if tokens < MIN_SAMPLE_TOKENS || took_ms == 0 {
            return;
        }
        let tokens_per_ms =
            (f64::from(tokens) / took_ms as f64).clamp(MIN_TOKENS_PER_MS, MAX_TOKENS_PER_MS);
        self.tokens_per_ms =
            self.tokens_per_ms * (1.0 - SAMPLE_WEIGHT) + tokens_per_ms * SAMPLE_WEIGHT;
    }

    /// Records the prefill time of a prompt at an engine that tells its pace and had a free slot
    /// and, as far as is known, no other prompt to read. It may have run other requests, as
    /// engines of a large fleet are rarely idle and an instance sees few samples.
    ///
    /// The first samples weigh the more, the fewer there are, so that a few seconds after its
    /// start an instance knows the rate.
    pub fn record_paced(&mut self, sample: PrefillSample) {
        if sample.tokens < MIN_SAMPLE_TOKENS || sample.took_ms == 0 {
            return;
        }
        let tokens_per_ms = f64::from(sample.tokens) * sample.slowdown / sample.took_ms as f64;
        let tokens_per_ms = tokens_per_ms.clamp(MIN_TOKENS_PER_MS, MAX_TOKENS_PER_MS);
        self.paced_samples = self.paced_samples.saturating_add(1);
        let equal_weight = 1.0 / (f64::from(self.paced_samples) + INITIAL_SAMPLES);
        let mut weight = equal_weight.max(SAMPLE_WEIGHT);
        if tokens_per_ms < self.tokens_per_ms {
            weight *= SLOWER_SAMPLE_RATIO;
        }
        self.tokens_per_ms += (tokens_per_ms - self.tokens_per_ms) * weight;
    }

    /// Returns the time that an engine takes to read a number of prompt tokens.
    pub fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens / self.tokens_per_ms
    }
}

/// Returns the time after which the caller should retry if the request would
/// wait too long at the best engine, or `None` if the request is admitted.
///
/// `own_tokens` are the prompt tokens that no other request shares;
/// `has_first_priority` marks a request of the highest priority. The time is that at the engine's
/// present pace.
pub fn retry_after_ms(
    best: &KnownEngine,
    rate: &PrefillRate,
    settings: &AdmitSettings,
    own_tokens: u64,
    target_ms: u64,
    has_first_priority: bool,
    now_ms: u64,
) -> Option<u64> {
    let factor = if has_first_priority {
        settings.first_priority_max_wait_factor
    } else {
        settings.max_wait_factor
    };
    let max_wait_ms = factor * target_ms as f64;
    let tokens = f64::from(best.load().prefill_tokens) + own_tokens as f64;
    let wait_ms = rate.prefill_ms(tokens) * best.slowdown(now_ms);
    if wait_ms <= max_wait_ms {
        return None;
    }
    let retry_ms = (wait_ms - max_wait_ms / 2.0) as u64;
    Some(retry_ms.clamp(settings.min_retry_ms, settings.max_retry_ms))
}
