use {
    super::Job,
    derive_more::{Display, Error},
};

/// What a deployment gives priority when all engines are full.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Display)]
pub enum AdmissionProfile {
    /// The tail latency of the first token. For callers with a customer waiting
    /// at the counter, a late answer is worth no more than a refusal.
    #[default]
    #[display("first-token")]
    FirstToken,
    /// The worst-served team and few wrongful refusals. For callers with an
    /// applicant who abandons the form after a refusal, waiting is better.
    #[display("worst-team")]
    WorstTeam,
}

/// Error for a profile name that does not exist.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("No such profile; give first-token or worst-team.")]
pub struct UnknownProfile;

impl std::str::FromStr for AdmissionProfile {
    type Err = UnknownProfile;

    fn from_str(text: &str) -> Result<AdmissionProfile, UnknownProfile> {
        match text {
            "first-token" => Ok(AdmissionProfile::FirstToken),
            "worst-team" => Ok(AdmissionProfile::WorstTeam),
            _ => Err(UnknownProfile),
        }
    }
}

/// How an instance queues and refuses requests when all engines are full.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionSettings {
    /// Maximum time in milliseconds that a request waits for an engine.
    pub max_wait_ms: u64,
    /// Maximum number of queued requests.
    pub max_queued: usize,
    /// Tokens by which a request counts as shorter for each millisecond that it
    /// has waited, in the order within its team.
    pub aging_tokens_per_ms: f64,
    /// Waiting time in milliseconds that raises a request by one priority.
    pub priority_step_ms: u64,
    /// Minimum retry time for refused callers, in milliseconds.
    pub min_retry_ms: u64,
}

impl AdmissionSettings {
    /// Returns the priority of a request, raised by its waiting time.
    pub(super) fn effective_priority(&self, job: &Job, now_ms: u64) -> u64 {
        let waited_ms = now_ms.saturating_sub(job.arrived_ms);
        u64::from(job.priority).saturating_sub(waited_ms / self.priority_step_ms.max(1))
    }

    /// Returns the settings of a profile.
    pub fn for_profile(profile: AdmissionProfile) -> AdmissionSettings {
        match profile {
            AdmissionProfile::FirstToken => AdmissionSettings::default(),
            AdmissionProfile::WorstTeam => AdmissionSettings {
                max_wait_ms: 8_000,
                aging_tokens_per_ms: 8.0,
                ..AdmissionSettings::default()
            },
        }
    }
}

impl Default for AdmissionSettings {
    fn default() -> AdmissionSettings {
        AdmissionSettings {
            max_wait_ms: 2_000,
            max_queued: 512,
            aging_tokens_per_ms: 4.0,
            priority_step_ms: 2_000,
            min_retry_ms: 500,
        }
    }
}
