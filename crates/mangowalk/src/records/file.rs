use {
    crate::failure::Failure,
    error_stack::Report,
    mangowalk_core::{
        platform::ObjectKey,
        record::{Kind, parse},
    },
    serde::{Deserialize, Serialize},
    serde_json::{Deserializer, Value},
    std::{
        fs,
        io::{self, Read},
        path::Path,
    },
};

/// Characters allowed in a name besides ASCII letters and digits. Names are
/// segments of paths in the platform's API.
const NAME_PUNCTUATION: &str = "._:-";

/// File name that stands for standard input.
const STDIN: &str = "-";

/// One record, in the form in which files hold it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RecordFile {
    /// Kind of the record.
    pub(crate) kind: Kind,
    /// Name of the record.
    pub(crate) name: String,
    /// Version that the record is based on; it is written only if the platform
    /// still holds that version. `None` if the file gives none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) version: Option<u64>,
    /// The record itself.
    pub(crate) record: Value,
}

impl RecordFile {
    /// Returns the key of the record on the platform.
    pub(crate) fn key(&self) -> ObjectKey {
        ObjectKey::new(&self.kind.to_string(), &self.name)
    }

    /// Checks name and record as an instance would.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::InvalidInput`] for the name and
    /// [`Failure::InvalidRecord`] for the record.
    pub(crate) fn check(&self) -> Result<(), Report<Failure>> {
        check_name(&self.name)?;
        parse(self.kind, &self.record).map_err(|error| Failure::InvalidRecord {
            key: self.key(),
            error,
        })?;
        Ok(())
    }

    /// Reads every record of a file, `-` for standard input: one object, an
    /// array of objects, or several of these one after the other.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::InvalidInput`] if the file can't be read or parsed,
    /// or holds no record.
    pub(crate) fn read(path: &Path) -> Result<Vec<RecordFile>, Report<Failure>> {
        let text = read_text(path).map_err(|e| invalid_file(path, &e.to_string()))?;
        let mut records = Vec::new();
        for value in Deserializer::from_str(&text).into_iter::<Value>() {
            let value = value.map_err(|e| invalid_file(path, &e.to_string()))?;
            let items = match value {
                Value::Array(items) => items,
                item => vec![item],
            };
            for item in items {
                records.push(
                    serde_json::from_value(item).map_err(|e| invalid_file(path, &e.to_string()))?,
                );
            }
        }
        if records.is_empty() {
            return Err(invalid_file(path, "it holds no record"));
        }
        Ok(records)
    }
}

fn check_name(name: &str) -> Result<(), Report<Failure>> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || NAME_PUNCTUATION.contains(c);
    if !name.is_empty() && name.chars().all(is_allowed) {
        return Ok(());
    }
    Err(Report::new(Failure::InvalidInput {
        what: format!("The name {name:?}"),
        detail: format!("a name has letters, digits and {NAME_PUNCTUATION} only"),
    }))
}

fn read_text(path: &Path) -> io::Result<String> {
    if path != Path::new(STDIN) {
        return fs::read_to_string(path);
    }
    let mut text = String::new();
    io::stdin().read_to_string(&mut text)?;
    Ok(text)
}

fn invalid_file(path: &Path, detail: &str) -> Report<Failure> {
    Report::new(Failure::InvalidInput {
        what: if path == Path::new(STDIN) {
            "Standard input".to_owned()
        } else {
            path.display().to_string()
        },
        detail: detail.to_owned(),
    })
}
