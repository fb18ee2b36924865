use {
    super::{Action, RecordFile, Written, fields::changes, put, read},
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
    path: String,
    value: Value,
}

impl FromStr for Assignment {
    type Err = &'static str;

    /// Reads the value as JSON where it is some, else as text.
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
    /// Changes the named fields of the record as it is now. Other fields keep
    /// what another operator wrote last.
    pub(crate) fn run(&self) -> Result<(), Report<Failure>> {
        let key = ObjectKey::new(&self.kind.to_string(), &self.name);
        let platform = self.common.platform();
        let held = read(&platform, &key)?.ok_or_else(|| Failure::Missing { key: key.clone() })?;
        let mut record = held.body.clone();
        for field in &self.fields {
            assign(&mut record, field);
        }
        let file = RecordFile {
            kind: self.kind,
            name: self.name.clone(),
            version: Some(held.version),
            record,
        };
        file.check()?;
        let changes = changes(&held.body, &file.record);
        let mut written = Written {
            key,
            action: if changes.is_empty() {
                Action::Unchanged
            } else {
                Action::Changed
            },
            version: held.version,
            changes,
        };
        if self.dry_run {
            progress("Dry run: nothing is written.");
        } else if written.action == Action::Changed {
            written.version = put(&platform, &written.key, held.version, &file.record)?;
        }
        let text = written.text();
        self.common.output().print(&written, &text);
        if self.dry_run {
            return Ok(());
        }
        self.wait.until_in_force(&platform, written.version)
    }
}

/// Sets a field by its path; objects on the way are made where they lack.
fn assign(record: &mut Value, field: &Assignment) {
    let mut at = record;
    for part in field.path.split('.') {
        if !at.is_object() {
            *at = Value::Object(Default::default());
        }
        at = &mut at[part];
    }
    *at = field.value.clone();
}
