use {
    super::fields::FieldChange, derive_more::Display, mangowalk_core::platform::ObjectKey,
    serde::Serialize,
};

/// What a command did to a record, or would do in a dry run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Action {
    /// The record did not exist.
    #[display("created")]
    Created,
    /// The record differs from the stored one.
    #[display("changed")]
    Changed,
    /// The record equals the stored one; nothing was written.
    #[display("unchanged")]
    Unchanged,
    /// The record was deleted.
    #[display("withdrawn")]
    Withdrawn,
}

/// Result of a command for one record, in its JSON output.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct WriteResult {
    /// Kind and name of the record.
    #[serde(flatten)]
    pub(crate) key: ObjectKey,
    /// What was done.
    pub(crate) action: Action,
    /// Version on the platform after the command, for a deleted record as
    /// [`super::delete`] returns it; in a dry run the stored version, 0 if there
    /// is none.
    pub(crate) version: u64,
    /// Fields that differ.
    pub(crate) changes: Vec<FieldChange>,
}

impl WriteResult {
    /// Returns the result as text, one line for each changed field.
    pub(crate) fn text(&self) -> String {
        let head = format!(
            "{} {}/{} at version {}",
            self.action, self.key.kind, self.key.name, self.version
        );
        let fields = self.changes.iter().map(|c| format!("    {}", c.text()));
        [head]
            .into_iter()
            .chain(fields)
            .collect::<Vec<_>>()
            .join("\n")
    }

    /// Returns several results as text.
    pub(crate) fn join_texts(all: &[WriteResult]) -> String {
        let texts: Vec<String> = all.iter().map(WriteResult::text).collect();
        texts.join("\n")
    }
}
