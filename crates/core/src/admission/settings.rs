use derive_more::{Display, Error};

/// What the deployment weighs most when it is full.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Display)]
pub enum AdmissionProfile {
    /// The tail of the time to first token: a customer stands at the counter,
    /// and an answer that comes late is worth no more than a refusal.
    #[default]
    #[display("first-token")]
    FirstToken,
    /// The worst-served team and wrongful refusals: a refused applicant
    /// abandons the form, so waiting is better than refusing.
    #[display("worst-team")]
    WorstTeam,
}

/// A profile that is not known.
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

/// How an instance behaves when it is full.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionSettings {
    /// Longest time to first token that a caller is held for.
    pub max_wait_ms: u64,
    /// Most requests that wait at once.
    pub max_queued: usize,
    /// Time waited that makes up for this many tokens of a longer request.
    pub aging_tokens_per_ms: f64,
    /// Time waited that lifts a request by one priority.
    pub priority_step_ms: u64,
    /// Shortest time after which a refused caller is told to come back.
    pub min_retry_ms: u64,
}

impl AdmissionSettings {
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
