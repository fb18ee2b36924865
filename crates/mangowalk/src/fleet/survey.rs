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

/// Maximum number of concurrent calls to instances. With 350 instances of which
/// a rack is down, sequential calls would take minutes.
const MAX_CONCURRENT_CALLS: usize = 16;

/// Answers of all instances to one call.
#[derive(Debug, Serialize)]
pub(crate) struct Survey<T> {
    /// Answers, in the order of the instances' names.
    pub(crate) answered: Vec<T>,
    /// Instances that did not answer, with the reason.
    pub(crate) silent: Vec<SilentInstance>,
}

/// An instance that did not answer.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct SilentInstance {
    /// Address for callers, which is the instance's name on the platform.
    pub(crate) name: String,
    /// The reason.
    pub(crate) why: String,
}

impl<T: DeserializeOwned + Send> Survey<T> {
    /// Reads a path of every instance at its operator address, with up to
    /// [`MAX_CONCURRENT_CALLS`] calls at a time.
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

    /// Checks that every instance answered.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Incomplete`] with the names of the instances that did
    /// not answer, and attaches the reason of each.
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

/// Reads a path of one instance at its operator address.
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
