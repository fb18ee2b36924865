use {
    super::{Action, RecordFile, WriteResult, plan::Plan, put},
    crate::{
        cli::{Common, common},
        failure::Failure,
        fleet::{Wait, wait},
        output::progress,
    },
    bpaf::Bpaf,
    error_stack::Report,
    mangowalk_core::{edge::Platform, record::Kind},
    std::{collections::HashSet, path::PathBuf},
};

/// Arguments of `apply`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct Apply {
    #[bpaf(external(common))]
    common: Common,

    /// Show what would change, and write nothing.
    #[bpaf(long)]
    dry_run: bool,

    #[bpaf(external(wait))]
    wait: Wait,

    /// Change records that exist whatever their version.
    #[bpaf(long)]
    overwrite: bool,

    /// Files of records, `-` for standard input
    #[bpaf(positional("FILE"), some("no file of records; give one or more"))]
    files: Vec<PathBuf>,
}

impl Apply {
    /// Checks every record, then writes those that differ from the platform's.
    ///
    /// # Errors
    ///
    /// Fails without a write if a file, a record or a version doesn't fit. A
    /// failed write leaves the records before it written.
    pub(crate) fn run(&self) -> Result<(), Report<Failure>> {
        let records = self.records()?;
        let platform = self.common.platform();
        let plans = records
            .iter()
            .map(|r| Plan::new(&platform, r, self.overwrite))
            .collect::<Result<Vec<Plan<'_>>, _>>()?;
        let results = if self.dry_run {
            progress("Dry run: nothing is written.");
            plans
                .into_iter()
                .map(|p| p.result)
                .collect::<Vec<WriteResult>>()
        } else {
            self.write(&platform, &plans)?
        };
        let text = WriteResult::join_texts(&results);
        self.common.output().print(&results, &text);
        if self.dry_run {
            return Ok(());
        }
        let newest = results.iter().map(|w| w.version).max().unwrap_or(0);
        self.wait.until_in_force(&platform, newest)
    }

    /// Reads and checks every file. Returns the records in the order in which a
    /// new fleet needs them, that of [`Kind::WRITTEN_BY_OPERATORS`].
    fn records(&self) -> Result<Vec<RecordFile>, Report<Failure>> {
        let mut records = Vec::new();
        for file in &self.files {
            records.extend(RecordFile::read(file)?);
        }
        let mut seen = HashSet::new();
        for record in &records {
            record.check()?;
            if !seen.insert(record.key()) {
                return Err(Report::new(Failure::InvalidInput {
                    what: format!("{}/{}", record.kind, record.name),
                    detail: "it is there twice; leave one out".to_owned(),
                }));
            }
        }
        records.sort_by_key(|r| Kind::WRITTEN_BY_OPERATORS.iter().position(|k| *k == r.kind));
        Ok(records)
    }

    /// Writes the planned records in order. If a write fails, prints the
    /// results so far and adds the number of remaining records to the failure.
    fn write(
        &self,
        platform: &dyn Platform,
        plans: &[Plan<'_>],
    ) -> Result<Vec<WriteResult>, Report<Failure>> {
        let mut done: Vec<WriteResult> = Vec::new();
        for plan in plans {
            match write_one(platform, plan) {
                Ok(result) => done.push(result),
                Err(report) => {
                    let left = plans.len() - done.len() - 1;
                    let before = WriteResult::join_texts(&done);
                    self.common.output().print(&done, &before);
                    return Err(report.attach(format!("{left} records behind it were not tried.")));
                }
            }
        }
        Ok(done)
    }
}

fn write_one(platform: &dyn Platform, plan: &Plan<'_>) -> Result<WriteResult, Report<Failure>> {
    let mut result = plan.result.clone();
    if result.action != Action::Unchanged {
        let expected_version = result.version;
        result.version = put(platform, &result.key, expected_version, &plan.record.record)?;
    }
    Ok(result)
}
