use super::Belief;

/// When a request is refused rather than left waiting at an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmitSettings {
    /// Wait, in times of the target, that an ordinary request may expect.
    ///
    /// While more comes than the engines can read, a longer queue serves not
    /// one request more: it makes all of them late, and engines that change
    /// their weights take as long to finish.
    pub patience: f64,
    /// The same for a request of the first rank. Engines let it pass the
    /// others, so what is queued there matters less to it.
    pub first_patience: f64,
    /// Shortest and longest time after which a refused caller may come back.
    pub return_least_ms: u64,
    /// See above.
    pub return_most_ms: u64,
}

impl Default for AdmitSettings {
    fn default() -> AdmitSettings {
        AdmitSettings {
            patience: 0.8,
            first_patience: 3.0,
            return_least_ms: 200,
            return_most_ms: 1_500,
        }
    }
}

/// Prompt tokens that an engine reads in a millisecond before any was seen.
const FIRST_RATE: f64 = 40.0;

/// Bounds on what is believed of the rate.
const LEAST_RATE: f64 = 5.0;
const MOST_RATE: f64 = 1_000.0;

/// Weight of one new sample of the rate.
const SAMPLE: f64 = 0.1;

/// Shortest prompt by which the rate is measured; shorter ones take about as
/// long as an engine's single step.
const LEAST_SAMPLE_TOKENS: u32 = 1_500;

/// How fast engines read prompts, learned from their first events.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReadRate {
    per_ms: f64,
}

impl Default for ReadRate {
    fn default() -> ReadRate {
        ReadRate { per_ms: FIRST_RATE }
    }
}

impl ReadRate {
    /// Returns the tokens that an engine reads in a millisecond.
    pub fn per_ms(&self) -> f64 {
        self.per_ms
    }

    /// Notes how long an engine that had nothing else to read took for a
    /// prompt.
    pub fn sample(&mut self, tokens: u32, took_ms: u64) {
        if tokens < LEAST_SAMPLE_TOKENS || took_ms == 0 {
            return;
        }
        let per_ms = (f64::from(tokens) / took_ms as f64).clamp(LEAST_RATE, MOST_RATE);
        self.per_ms = self.per_ms * (1.0 - SAMPLE) + per_ms * SAMPLE;
    }

    /// Returns how long an engine takes to read so many tokens.
    pub fn wait_ms(&self, tokens: f64) -> f64 {
        tokens / self.per_ms
    }
}

/// Returns after how many milliseconds a caller should come back whose
/// request would wait too long at the best engine; `None` where it need not.
pub fn refuse(
    best: &Belief,
    rate: &ReadRate,
    settings: &AdmitSettings,
    own_tokens: u64,
    target_ms: u64,
    is_first: bool,
) -> Option<u64> {
    let times = if is_first {
        settings.first_patience
    } else {
        settings.patience
    };
    let patience_ms = times * target_ms as f64;
    let wait_ms = rate.wait_ms(f64::from(best.load().prefill_tokens) + own_tokens as f64);
    if wait_ms <= patience_ms {
        return None;
    }
    let return_ms = (wait_ms - patience_ms / 2.0) as u64;
    Some(return_ms.clamp(settings.return_least_ms, settings.return_most_ms))
}
