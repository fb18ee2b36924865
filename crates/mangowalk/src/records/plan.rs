use {
    super::{Action, RecordFile, WriteResult, fields::changed_fields, read},
    crate::failure::Failure,
    error_stack::Report,
    mangowalk_core::edge::Platform,
};

/// Planned write of one record, based on the version that was read.
#[derive(Debug)]
pub(super) struct Plan<'a> {
    /// The record to write, from a file.
    pub(super) record: &'a RecordFile,
    /// Planned action and changes, with the version that the platform holds.
    pub(super) result: WriteResult,
}

impl<'a> Plan<'a> {
    /// Compares a record of a file with what the platform holds.
    ///
    /// # Errors
    ///
    /// If the records differ and `overwrite` is not set, returns
    /// [`Failure::Conflict`] if the platform holds another version than the file
    /// gives, and [`Failure::VersionRequired`] if the file gives none and the
    /// record exists.
    pub(super) fn new(
        platform: &dyn Platform,
        record: &'a RecordFile,
        overwrite: bool,
    ) -> Result<Plan<'a>, Report<Failure>> {
        let key = record.key();
        let stored = read(platform, &key)?;
        let version = stored.as_ref().map_or(0, |o| o.version);
        let plan = |action, changes| Plan {
            record,
            result: WriteResult {
                key: key.clone(),
                action,
                version,
                changes,
            },
        };
        if stored.as_ref().is_some_and(|o| o.body == record.record) {
            return Ok(plan(Action::Unchanged, Vec::new()));
        }
        if record
            .version
            .is_some_and(|expected_version| expected_version != version)
            && !overwrite
        {
            return Err(Report::new(Failure::Conflict { key, version }));
        }
        let Some(stored) = stored else {
            return Ok(plan(Action::Created, Vec::new()));
        };
        if record.version.is_none() && !overwrite {
            return Err(Report::new(Failure::VersionRequired { key, version }));
        }
        Ok(plan(
            Action::Changed,
            changed_fields(&stored.body, &record.record),
        ))
    }
}
