use {
    super::{Action, RecordFile, WriteResult, fields::changed_fields, put, read},
    crate::{
        cli::{Common, common, kind},
        failure::Failure,
        fleet::{Wait, wait},
        output::progress,
    },
    bpaf::Bpaf,
    error_stack::Report,
    mangowalk_core::{platform::ObjectKey, record::Kind},
    serde_json::Value,
    std::str::FromStr,
};

/// Arguments of `set`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct Set {
    #[bpaf(external(common))]
    common: Common,

    /// Show what would change, and write nothing.
    #[bpaf(long)]
    dry_run: bool,

    #[bpaf(external(wait))]
    wait: Wait,

    #[bpaf(external(kind))]
    kind: Kind,

    /// Name of the record
    #[bpaf(positional("NAME"))]
    name: String,

    /// Fields and their new values, such as departing=true
    #[bpaf(
        positional("FIELD=VALUE"),
        some("no field; give one or more, such as departing=true")
    )]
    fields: Vec<Assignment>,
}

/// A field and its new value.
#[derive(Debug, Clone)]
struct Assignment {
    /// Path of the field, with dots between its parts.
    path: String,
    value: Value,
}

impl FromStr for Assignment {
    type Err = &'static str;

    /// Parses `FIELD=VALUE`. A value that is not JSON is taken as a string.
    fn from_str(text: &str) -> Result<Assignment, &'static str> {
        let (path, value) = text
            .split_once('=')
            .filter(|(path, _)| !path.is_empty())
            .ok_or("no assignment; write FIELD=VALUE")?;
        Ok(Assignment {
            path: path.to_owned(),
            value: serde_json::from_str(value).unwrap_or_else(|_| value.into()),
        })
    }
}

impl Set {
    /// Changes the given fields of the current record. Other fields keep their
    /// stored values, so that another operator's changes to them are not lost.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::RecordNotFound`] if there is no such record, and
    /// [`Failure::Conflict`] if it changes between read and write.
    pub(crate) fn run(&self) -> Result<(), Report<Failure>> {
        let key = ObjectKey::new(&self.kind.to_string(), &self.name);
        let platform = self.common.platform();
        let stored =
            read(&platform, &key)?.ok_or_else(|| Failure::RecordNotFound { key: key.clone() })?;
        let mut record = stored.body.clone();
        for field in &self.fields {
            assign(&mut record, field);
        }
        let file = RecordFile {
            kind: self.kind,
            name: self.name.clone(),
            version: Some(stored.version),
            record,
        };
        file.check()?;
        let changes = changed_fields(&stored.body, &file.record);
        let mut result = WriteResult {
            key,
            action: if changes.is_empty() {
                Action::Unchanged
            } else {
                Action::Changed
            },
            version: stored.version,
            changes,
        };
        if self.dry_run {
            progress("Dry run: nothing is written.");
        } else if result.action == Action::Changed {
            result.version = put(&platform, &result.key, stored.version, &file.record)?;
        }
        let text = result.text();
        self.common.output().print(&result, &text);
        if self.dry_run {
            return Ok(());
        }
        self.wait.until_in_force(&platform, result.version)
    }
}

/// Sets the field at a path. Creates the objects on the path that are missing,
/// and replaces other values on it by objects.
fn assign(record: &mut Value, field: &Assignment) {
    let mut target = record;
    for part in field.path.split('.') {
        if !target.is_object() {
            *target = Value::Object(Default::default());
        }
        target = &mut target[part];
    }
    *target = field.value.clone();
}
