use {
    super::{Instance, STATUS_PATH, Survey, instances},
    crate::{failure::Failure, output::progress},
    bpaf::Bpaf,
    error_stack::Report,
    mangowalk_core::{edge::Platform, status::InstanceStatus},
    std::{
        collections::HashSet,
        thread,
        time::{Duration, Instant},
    },
};

/// Pause between two polls of the fleet.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Whether and how long to wait until a write is in force everywhere.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct Wait {
    /// Wait until every instance has the write in force.
    #[bpaf(long)]
    wait: bool,

    /// Longest time to wait, in milliseconds.
    #[bpaf(long, argument("MS"), fallback(30_000), display_fallback)]
    wait_timeout_ms: u64,
}

impl Wait {
    /// Waits until every listed instance has the version in force; returns at
    /// once without `--wait`.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Incomplete`] with the instances that are behind when
    /// `--wait-timeout-ms` has passed. Fails if the platform can't be read.
    pub(crate) fn until_in_force(
        &self,
        platform: &dyn Platform,
        version: u64,
    ) -> Result<(), Report<Failure>> {
        if !self.wait {
            return Ok(());
        }
        let deadline = Instant::now() + Duration::from_millis(self.wait_timeout_ms);
        let mut wait_progress = WaitProgress::new(version);
        loop {
            wait_progress.poll(&instances(platform)?);
            if wait_progress.is_in_force() {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(Report::new(Failure::Incomplete {
                    detail: not_in_force(version, &wait_progress.behind),
                }));
            }
            thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Progress of a wait. An instance that has the version in force keeps it, so
/// only the others are called again.
struct WaitProgress {
    version: u64,
    /// Names of the instances that have the version in force.
    in_force: HashSet<String>,
    /// Names of the other instances listed at the last poll.
    behind: Vec<String>,
    /// Progress message printed last; the same one is not printed again.
    last_shown: String,
}

impl WaitProgress {
    fn new(version: u64) -> WaitProgress {
        WaitProgress {
            version,
            in_force: HashSet::new(),
            behind: Vec::new(),
            last_shown: String::new(),
        }
    }

    /// Calls the listed instances that are not known to have the version in
    /// force, and prints the progress if it changed.
    fn poll(&mut self, listed: &[Instance]) {
        let pending: Vec<Instance> = listed
            .iter()
            .filter(|i| !self.in_force.contains(&i.name))
            .cloned()
            .collect();
        let survey = Survey::<InstanceStatus>::collect(&pending, STATUS_PATH);
        let reached = survey
            .answered
            .iter()
            .filter(|s| s.revision >= self.version);
        self.in_force
            .extend(reached.map(|s| s.caller_address.to_string()));
        let behind = pending.into_iter().map(|i| i.name);
        self.behind = behind
            .filter(|name| !self.in_force.contains(name))
            .collect();
        self.show_progress(listed.len());
    }

    /// Returns whether all listed instances have the version in force. A list
    /// that lags may be empty, and the version is in force nowhere then.
    fn is_in_force(&self) -> bool {
        self.behind.is_empty() && !self.in_force.is_empty()
    }

    fn show_progress(&mut self, listed: usize) {
        let line = format!(
            "Version {} is in force on {} of {listed} instances.",
            self.version,
            listed - self.behind.len()
        );
        if line != self.last_shown {
            progress(&line);
            self.last_shown = line;
        }
    }
}

/// Returns the message of a wait that timed out.
fn not_in_force(version: u64, behind: &[String]) -> String {
    let missing_on = if behind.is_empty() {
        "any instance, since the platform lists none".to_owned()
    } else {
        behind.join(", ")
    };
    format!("The write took effect, but version {version} is not in force on {missing_on}")
}
