use {
    super::{Instance, call},
    crate::failure::Failure,
    error_stack::Report,
    mangowalk_core::status::InstanceStatus,
    serde::Serialize,
    std::{
        sync::{
            Mutex, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
    },
};

/// Instances asked at the same time. At 350 instances of which a rack is dead,
/// asking one by one would take minutes.
const ASKED_AT_ONCE: usize = 16;

/// What all instances said of themselves.
#[derive(Debug, Serialize)]
pub(crate) struct Survey {
    /// Instances that answered.
    pub(crate) answered: Vec<InstanceStatus>,
    /// Instances that did not, and why.
    pub(crate) silent: Vec<Silent>,
}

/// An instance that did not answer.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct Silent {
    /// Address towards callers.
    pub(crate) name: String,
    /// Why.
    pub(crate) why: String,
}

impl Survey {
    /// Asks every instance for its status.
    pub(crate) fn of(instances: &[Instance]) -> Survey {
        let next = AtomicUsize::new(0);
        let replies = Mutex::new(Vec::new());
        thread::scope(|scope| {
            for _ in 0..ASKED_AT_ONCE.min(instances.len()) {
                scope.spawn(|| {
                    while let Some(instance) = instances.get(next.fetch_add(1, Ordering::Relaxed)) {
                        let reply = ask(instance);
                        let mut replies = replies.lock().unwrap_or_else(PoisonError::into_inner);
                        replies.push(reply);
                    }
                });
            }
        });
        let mut survey = Survey {
            answered: Vec::new(),
            silent: Vec::new(),
        };
        for reply in replies.into_inner().unwrap_or_else(PoisonError::into_inner) {
            match reply {
                Ok(status) => survey.answered.push(status),
                Err(silent) => survey.silent.push(silent),
            }
        }
        survey.answered.sort_by_key(|s| s.caller_address);
        survey.silent.sort_by(|a, b| a.name.cmp(&b.name));
        survey
    }

    /// Returns a failure that names the instances that did not answer.
    pub(crate) fn complete(&self) -> Result<(), Report<Failure>> {
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

fn ask(instance: &Instance) -> Result<InstanceStatus, Silent> {
    let silent = |why: String| Silent {
        name: instance.name.clone(),
        why,
    };
    let address = instance
        .operator_address
        .ok_or_else(|| silent("it runs without --operator-address".to_owned()))?;
    call(address, "/status", None).map_err(silent)
}
