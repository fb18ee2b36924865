use {
    super::{Survey, instances},
    crate::{failure::Failure, output::progress},
    bpaf::Bpaf,
    error_stack::Report,
    mangowalk_core::edge::Platform,
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Pause between two looks at the fleet.
const PAUSE: Duration = Duration::from_millis(200);

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
    /// Waits, if that was asked for, until every instance has the version in
    /// force.
    pub(crate) fn until_in_force(
        &self,
        platform: &dyn Platform,
        version: u64,
    ) -> Result<(), Report<Failure>> {
        if !self.wait {
            return Ok(());
        }
        let until = Instant::now() + Duration::from_millis(self.wait_timeout_ms);
        let mut shown = String::new();
        loop {
            let survey = Survey::of(&instances(platform)?);
            let behind = behind(&survey, version);
            let all = survey.answered.len() + survey.silent.len();
            let line = format!(
                "Version {version} is in force on {} of {all} instances.",
                all - behind.len()
            );
            if line != shown {
                progress(&line);
                shown = line;
            }
            // A lagging list may show no instance at all; the write is in force
            // nowhere then.
            if all > 0 && behind.is_empty() {
                return Ok(());
            }
            if Instant::now() >= until {
                return Err(Report::new(Failure::Incomplete {
                    detail: not_in_force(version, &behind),
                }));
            }
            thread::sleep(PAUSE);
        }
    }
}

fn not_in_force(version: u64, behind: &[String]) -> String {
    let where_not = if behind.is_empty() {
        "any instance, since the platform lists none".to_owned()
    } else {
        behind.join(", ")
    };
    format!("The write took effect, but version {version} is not in force on {where_not}")
}

fn behind(survey: &Survey, version: u64) -> Vec<String> {
    let late = survey.answered.iter().filter(|s| s.revision < version);
    let silent = survey.silent.iter().map(|s| s.name.clone());
    late.map(|s| s.caller_address.to_string())
        .chain(silent)
        .collect()
}
