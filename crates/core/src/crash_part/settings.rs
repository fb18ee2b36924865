/// How parts of prompts that crash engines are detected, and for how long they are
/// rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashPartSettings {
    /// Number of crashed engines that ran a part from which on the part is watched.
    pub watched_crashes: usize,
    /// Number of crashed engines that ran a part, without an answer on it completed since,
    /// from which on the part is rejected. One or two crashes may be the engine's own or a
    /// neighbour's fault.
    pub rejected_crashes: usize,
    /// Factor of crashes without the part at which one more with it is needed: with 5, one
    /// more from 5 other crashes on and two more from 25 on.
    pub other_crashes: usize,
    /// Maximum number of crashes that are needed to reject a part.
    pub max_rejected_crashes: usize,
    /// Crashes that are closer to each other count as one: engines that end together have
    /// one cause, such as their rack.
    pub same_cause_ms: u64,
    /// Time for which an engine has written an answer after which that answer's request is no
    /// longer suspected of its crash.
    pub written_ms: u64,
    /// Time for which a crash counts.
    pub retention_ms: u64,
    /// Time for which a part has to be watched before it is rejected, so that completed
    /// answers can be heard of.
    pub min_watch_ms: u64,
    /// Time for which instances watch a part.
    pub watch_ms: u64,
    /// Answers without the part that an arbiter has to complete since the part's first
    /// crash. If nothing completes, the service is down, and no part is to blame.
    pub min_other_answers: usize,
    /// Longest wait of a request for the decision on a watched part, before it is sent to
    /// another engine.
    pub decision_wait_ms: u64,
    /// Time since an answer of the instance itself on a watched part within which requests
    /// don't wait for the decision on it.
    pub recent_answer_ms: u64,
    /// Time for which a part is rejected first.
    pub term_ms: u64,
    /// Longest time for which it is rejected after it has crashed an engine in a trial.
    pub max_term_ms: u64,
    /// Minimum time between two trials of a part whose term has ended.
    pub trial_interval_ms: u64,
    /// Instances that decide on the parts of a service.
    pub arbiters: usize,
}

impl Default for CrashPartSettings {
    fn default() -> CrashPartSettings {
        CrashPartSettings {
            watched_crashes: 2,
            rejected_crashes: 3,
            other_crashes: 5,
            max_rejected_crashes: 5,
            same_cause_ms: 50,
            written_ms: 400,
            retention_ms: 60_000,
            min_watch_ms: 200,
            watch_ms: 20_000,
            min_other_answers: 3,
            decision_wait_ms: 300,
            recent_answer_ms: 1_000,
            term_ms: 60_000,
            max_term_ms: 4_800_000,
            trial_interval_ms: 60_000,
            arbiters: 3,
        }
    }
}
