use {
    super::EngineSnapshot,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Why a rollout stopped.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Name of the engine on which the version failed.
    pub engine: String,
    /// What happened, and what the operator can do.
    pub reason: String,
}

/// Persistent state of a rollout, stored on the platform so that a new lease
/// holder can continue it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Schema version of the object.
    pub schema: u32,
    /// Version that every engine shall serve.
    pub target: String,
    /// Previous version, to which engines return if the target fails; empty if
    /// unknown.
    #[serde(rename = "good")]
    pub fallback: String,
    /// Whether all responsive engines were seen serving the target at the same
    /// time.
    pub done: bool,
    /// Why the rollout stopped; `None` if it did not.
    pub failure: Option<Failure>,
}

impl Plan {
    /// Sets the target version from the model's record.
    ///
    /// A record that changes during a rollout or after it stopped is a new
    /// decision of the operators: the rollout starts over, without its failure,
    /// and keeps the fallback version. After a completed rollout, its target
    /// becomes the fallback.
    pub fn set_target(&mut self, target: &str, engines: &[EngineSnapshot<'_>]) {
        if self.target == target {
            return self.set_missing_fallback(engines);
        }
        let fallback = if self.done {
            std::mem::take(&mut self.target)
        } else if self.fallback.is_empty() {
            most_common_version(engines)
        } else {
            std::mem::take(&mut self.fallback)
        };
        *self = Plan {
            schema: 1,
            target: target.to_owned(),
            fallback,
            done: false,
            failure: None,
        };
    }

    /// Sets the fallback version if no engine answered when the rollout began.
    /// Without it, engines could not leave a failed version and would stay
    /// drained.
    fn set_missing_fallback(&mut self, engines: &[EngineSnapshot<'_>]) {
        if self.fallback.is_empty() {
            let before = |e: &&EngineSnapshot<'_>| e.version != Some(self.target.as_str());
            let before: Vec<_> = engines.iter().filter(before).copied().collect();
            self.fallback = most_common_version(&before);
        }
    }

    /// Returns the version that a drained engine shall load: the target, or the
    /// fallback after a failure.
    pub fn desired_version(&self) -> &str {
        if self.failure.is_some() && !self.fallback.is_empty() {
            return &self.fallback;
        }
        &self.target
    }
}

/// Returns the version that most engines serve; empty if none serves the model.
fn most_common_version(engines: &[EngineSnapshot<'_>]) -> String {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for version in engines.iter().filter_map(|e| e.version) {
        *counts.entry(version).or_default() += usize::from(!version.is_empty());
    }
    let most_common = counts.into_iter().max_by_key(|(_, count)| *count);
    most_common
        .map(|(version, _)| version.to_owned())
        .unwrap_or_default()
}
