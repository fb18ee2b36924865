use {
    super::{Instance, call},
    crate::failure::Failure,
    error_stack::Report,
    serde::{Serialize, de::DeserializeOwned},
    std::{
        collections::BTreeMap,
        sync::{
            Mutex, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
    },
};

/// Instances asked at the same time. At 350 instances of which a rack is dead,
/// asking one by one would take minutes.
const MAX_CONCURRENT_CALLS: usize = 16;

/// What all instances answered to one question.
#[derive(Debug, Serialize)]
pub(crate) struct Survey<T> {
    /// Answers, in the order of the instances' names.
    pub(crate) answered: Vec<T>,
    /// Instances that did not, and why.
    pub(crate) silent: Vec<SilentInstance>,
}

/// An instance that did not answer.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct SilentInstance {
    /// Address towards callers.
    pub(crate) name: String,
    /// Why.
    pub(crate) why: String,
}

impl<T: DeserializeOwned + Send> Survey<T> {
    /// Reads a path of every instance's operator edge.
    pub(crate) fn collect(instances: &[Instance], path: &str) -> Survey<T> {
        let next = AtomicUsize::new(0);
        let replies = Mutex::new(BTreeMap::new());
        thread::scope(|scope| {
            for _ in 0..MAX_CONCURRENT_CALLS.min(instances.len()) {
                scope.spawn(|| {
                    while let Some(instance) = instances.get(next.fetch_add(1, Ordering::Relaxed)) {
                        let reply = call_instance(instance, path);
                        let mut replies = replies.lock().unwrap_or_else(PoisonError::into_inner);
                        replies.insert(instance.name.clone(), reply);
                    }
                });
            }
        });
        let mut survey = Survey {
            answered: Vec::new(),
            silent: Vec::new(),
        };
        let replies = replies.into_inner();
        for reply in replies
            .unwrap_or_else(PoisonError::into_inner)
            .into_values()
        {
            match reply {
                Ok(status) => survey.answered.push(status),
                Err(silent) => survey.silent.push(silent),
            }
        }
        survey
    }

    /// Returns a failure that names the instances that did not answer.
    pub(crate) fn ensure_complete(&self) -> Result<(), Report<Failure>> {
        if self.silent.is_empty() {
            return Ok(());
        }
        let names: Vec<&str> = self.silent.iter().map(|s| s.name.as_str()).collect();
        let report = Report::new(Failure::Incomplete {
            detail: format!("No answer came from {}", names.join(", ")),
        });
        Err(self.silent.iter().fold(report, |report, silent| {
            report.attach(format!("{}: {}", silent.name, silent.why))
        }))
    }
}

fn call_instance<T: DeserializeOwned>(
    instance: &Instance,
    path: &str,
) -> Result<T, SilentInstance> {
    let silent = |why: String| SilentInstance {
        name: instance.name.clone(),
        why,
    };
    let address = instance
        .operator_address
        .ok_or_else(|| silent("it runs without --operator-address".to_owned()))?;
    call(address, path, None).map_err(silent)
}
