use {
    crate::{
        config::{Entry, EntryState, Store},
        platform::{ObjectKey, system_kind},
        record::{Kind, SCHEMA},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Status of a record, written to the platform under the name `KIND.NAME`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordStatus {
    /// Schema number of this object.
    pub schema: u32,
    /// Kind of the record.
    pub kind: String,
    /// Name of the record.
    pub name: String,
    /// Version of the write that this status describes.
    pub version: u64,
    /// Whether that write is in force.
    pub accepted: bool,
    /// Why it was refused and how to correct it; `None` if it is in force.
    pub why: Option<String>,
    /// Version in force, 0 if there is none.
    pub version_in_force: u64,
    /// Newest schema number that the writer of this status can read.
    pub reader_schema: u32,
}

impl RecordStatus {
    /// Returns the object key of a record's status.
    pub fn key(kind: &str, name: &str) -> ObjectKey {
        ObjectKey::new(system_kind::STATUS, &format!("{kind}.{name}"))
    }

    /// Returns the status as text for operators.
    pub fn text(&self) -> String {
        let Some(why) = &self.why else {
            return format!("Version {} is in force.", self.version);
        };
        let earlier = match self.version_in_force {
            0 => "nothing is in force".to_owned(),
            version => format!("version {version} stays in force"),
        };
        format!("Version {} was refused, {earlier}. {why}", self.version)
    }

    /// Returns the status of every record that operators wrote and did not
    /// withdraw, by the name of the status object.
    pub fn of_all(store: &Store) -> BTreeMap<String, RecordStatus> {
        store
            .entries()
            .filter(|(kind, _, e)| *kind != Kind::Drain && e.state != EntryState::Withdrawn)
            .map(|(kind, name, e)| (format!("{kind}.{name}"), RecordStatus::of(kind, name, e)))
            .collect()
    }

    fn of(kind: Kind, name: &str, entry: &Entry) -> RecordStatus {
        let why = match &entry.state {
            EntryState::Refused { error, .. } => Some(error.to_string()),
            _ => None,
        };
        RecordStatus {
            schema: 1,
            kind: kind.to_string(),
            name: name.to_owned(),
            version: entry.version,
            accepted: why.is_none(),
            why,
            version_in_force: entry.version_in_force(),
            reader_schema: SCHEMA,
        }
    }

    /// Returns whether this status may overwrite the one that was written
    /// before.
    ///
    /// While instances run different builds, an older build may write the
    /// status after a newer one. It can't read what the newer build accepted,
    /// and must not report the record as invalid.
    pub fn replaces(&self, written: Option<&RecordStatus>) -> bool {
        let Some(written) = written else {
            return true;
        };
        let rank = |s: &RecordStatus| (s.version, s.reader_schema);
        self != written && rank(self) >= rank(written)
    }
}
