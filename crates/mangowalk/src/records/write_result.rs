use {
    super::fields::FieldChange, derive_more::Display, mangowalk_core::platform::ObjectKey,
    serde::Serialize,
};

/// What a command does to a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Action {
    /// There was none.
    #[display("created")]
    Created,
    /// It differs from what is there.
    #[display("changed")]
    Changed,
    /// It is there already.
    #[display("unchanged")]
    Unchanged,
    /// It was taken away.
    #[display("withdrawn")]
    Withdrawn,
}

/// A record as a command left it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct WriteResult {
    /// Kind and name.
    #[serde(flatten)]
    pub(crate) key: ObjectKey,
    /// What was done.
    pub(crate) action: Action,
    /// Version on the platform; in a dry run the version that is there.
    pub(crate) version: u64,
    /// Fields that differ.
    pub(crate) changes: Vec<FieldChange>,
}

impl WriteResult {
    /// Returns the result in words.
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

    /// Returns several results in words.
    pub(crate) fn join_texts(all: &[WriteResult]) -> String {
        let texts: Vec<String> = all.iter().map(WriteResult::text).collect();
        texts.join("\n")
    }
}
