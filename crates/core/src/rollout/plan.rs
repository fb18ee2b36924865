use {
    super::EngineSnapshot,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Why a rollout stopped.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Engine that met the fault.
    pub engine: String,
    /// What happened, and what the operator can do.
    pub reason: String,
}

/// The part of a rollout that outlives its holder, kept on the platform.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Schema number of the object.
    pub schema: u32,
    /// Version to be served by every engine.
    pub target: String,
    /// The version before, to which a failed engine goes back.
    pub good: String,
    /// Whether every engine served the target at once.
    pub done: bool,
    /// Why the rollout stopped, if it did.
    pub failure: Option<Failure>,
}

impl Plan {
    /// Returns the plan that follows when the record asks for a version.
    ///
    /// A record that changes while a rollout runs, or after it stopped, is a
    /// new decision of the operators: it starts anew, and what was good stays
    /// what to go back to.
    pub fn set_target(&mut self, target: &str, engines: &[EngineSnapshot<'_>]) {
        if self.target == target {
            return self.find_good(engines);
        }
        let good = if self.done {
            std::mem::take(&mut self.target)
        } else if self.good.is_empty() {
            most_served(engines)
        } else {
            std::mem::take(&mut self.good)
        };
        *self = Plan {
            schema: 1,
            target: target.to_owned(),
            good,
            done: false,
            failure: None,
        };
    }

    /// Notes what engines served before, if no engine answered when the
    /// rollout began. Without it a failed engine would have nothing to go
    /// back to and stay out.
    fn find_good(&mut self, engines: &[EngineSnapshot<'_>]) {
        if self.good.is_empty() {
            let before = |e: &&EngineSnapshot<'_>| e.version != Some(self.target.as_str());
            let before: Vec<_> = engines.iter().filter(before).copied().collect();
            self.good = most_served(&before);
        }
    }

    /// Returns the version that an engine which is out shall load.
    pub fn wanted(&self) -> &str {
        if self.failure.is_some() && !self.good.is_empty() {
            return &self.good;
        }
        &self.target
    }
}

fn most_served(engines: &[EngineSnapshot<'_>]) -> String {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for version in engines.iter().filter_map(|e| e.version) {
        *counts.entry(version).or_default() += usize::from(!version.is_empty());
    }
    let most = counts.into_iter().max_by_key(|(_, count)| *count);
    most.map(|(version, _)| version.to_owned())
        .unwrap_or_default()
}
