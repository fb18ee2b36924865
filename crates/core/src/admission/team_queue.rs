use super::{AdmissionSettings, Job};

/// Requests of one team that wait, and the team's place in virtual time.
#[derive(Debug, Default)]
pub(super) struct TeamQueue {
    pub(super) jobs: Vec<Job>,
    /// Virtual time at which the team's last request ends.
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

    /// Returns the requests in the order in which they shall be served: short
    /// before long, and each millisecond waited takes some of the length off,
    /// so that a long one is passed only by what came within a bounded time
    /// after it.
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

    /// Returns tokens that would be served before a request of a length.
    pub(super) fn tokens_ahead(&self, tokens: u64) -> u64 {
        self.jobs
            .iter()
            .filter(|j| j.tokens <= tokens)
            .map(|j| j.tokens)
            .sum()
    }

    /// Returns the most urgent priority, time waited counted in.
    pub(super) fn effective_priority(&self, settings: &AdmissionSettings, now_ms: u64) -> u64 {
        let effective_priority = |job: &Job| {
            let waited_ms = now_ms.saturating_sub(job.arrived_ms);
            u64::from(job.priority).saturating_sub(waited_ms / settings.priority_step_ms.max(1))
        };
        self.jobs
            .iter()
            .map(effective_priority)
            .min()
            .unwrap_or(u64::MAX)
    }
}
