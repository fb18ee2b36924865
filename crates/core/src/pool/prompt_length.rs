/// Weight of one new prompt in the mean.
const SAMPLE_WEIGHT: f64 = 0.02;

/// The usual length of prompts, learned from those that come.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct MeanPromptLength {
    mean_tokens: Option<f64>,
}

impl MeanPromptLength {
    /// Notes the tokens of a prompt.
    pub fn record(&mut self, tokens: u64) {
        let tokens = tokens as f64;
        let mean_tokens = self.mean_tokens.unwrap_or(tokens);
        self.mean_tokens = Some(mean_tokens + (tokens - mean_tokens) * SAMPLE_WEIGHT);
    }

    /// Returns how many engines a prompt may look at, where one of the usual
    /// length looks at `sample`.
    ///
    /// Instances that look at all engines send to the same one until they hear
    /// of each other. What that costs grows with the prompt: one that is a tenth
    /// as long may look at ten times as many engines, and so finds one that has
    /// no long prompt to read.
    pub fn sample_size(&self, sample: usize, tokens: u64) -> usize {
        let mean_tokens = self.mean_tokens.unwrap_or(0.0);
        let factor = mean_tokens / tokens.max(1) as f64;
        sample.max((sample as f64 * factor) as usize)
    }
}
