use super::{AdmissionSettings, Job};

/// Queued requests of one team, and the team's position in virtual time.
#[derive(Debug, Default)]
pub(super) struct TeamQueue {
    pub(super) jobs: Vec<Job>,
    /// Virtual finish time of the team's last served request.
    pub(super) finish_tag: f64,
    pub(super) queued_tokens: u64,
}

impl TeamQueue {
    pub(super) fn push(&mut self, job: Job) {
        self.queued_tokens += job.tokens;
        self.jobs.push(job);
    }

    pub(super) fn remove(&mut self, index: usize) -> Job {
        let job = self.jobs.swap_remove(index);
        self.queued_tokens -= job.tokens;
        job
    }

    /// Returns the indexes of the requests in the order in which they should be
    /// served: short before long, where each millisecond waited reduces the
    /// length. So a long request is overtaken only by requests that arrive
    /// within a bounded time after it.
    pub(super) fn serving_order(&self, settings: &AdmissionSettings, now_ms: u64) -> Vec<usize> {
        let key = |job: &Job| {
            let waited_ms = now_ms.saturating_sub(job.arrived_ms) as f64;
            job.tokens as f64 - waited_ms * settings.aging_tokens_per_ms
        };
        let mut serving_order: Vec<usize> = (0..self.jobs.len()).collect();
        serving_order.sort_unstable_by(|a, b| {
            let (a, b) = (&self.jobs[*a], &self.jobs[*b]);
            key(a).total_cmp(&key(b)).then(a.id.cmp(&b.id))
        });
        serving_order
    }

    /// Returns the queued tokens that would be served before a new request with
    /// this many tokens.
    pub(super) fn tokens_ahead(&self, tokens: u64) -> u64 {
        self.jobs
            .iter()
            .filter(|j| j.tokens <= tokens)
            .map(|j| j.tokens)
            .sum()
    }

    /// Returns the most urgent priority of the team's requests, each raised by
    /// its waiting time; `u64::MAX` if none is queued.
    pub(super) fn effective_priority(&self, settings: &AdmissionSettings, now_ms: u64) -> u64 {
        self.jobs
            .iter()
            .map(|job| settings.effective_priority(job, now_ms))
            .min()
            .unwrap_or(u64::MAX)
    }
}
