/// Weight of one prompt in the moving average.
const SAMPLE_WEIGHT: f64 = 0.02;

/// Moving average of the length of prompts.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct MeanPromptLength {
    mean_tokens: Option<f64>,
}

impl MeanPromptLength {
    /// Records the length of a prompt.
    pub fn record(&mut self, tokens: u64) {
        let tokens = tokens as f64;
        let mean_tokens = self.mean_tokens.unwrap_or(tokens);
        self.mean_tokens = Some(mean_tokens + (tokens - mean_tokens) * SAMPLE_WEIGHT);
    }

    /// Returns the number of engines to consider for a prompt, where one of
    /// mean length considers `sampled_engines`.
    ///
    /// Instances that consider all engines send to the same one until they
    /// receive the next heartbeats. The cost of that grows with the length of
    /// the prompt: one that is a tenth as long may consider ten times as many
    /// engines, and so finds one that has no long prompt to read.
    pub fn sample_size(&self, sampled_engines: usize, tokens: u64) -> usize {
        let mean_tokens = self.mean_tokens.unwrap_or(0.0);
        let factor = mean_tokens / tokens.max(1) as f64;
        sampled_engines.max((sampled_engines as f64 * factor) as usize)
    }
}
