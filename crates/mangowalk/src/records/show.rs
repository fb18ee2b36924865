use {
    super::{RecordFile, read},
    crate::{
        cli::{Common, common, kind},
        failure::Failure,
        output::{Output, progress},
    },
    bpaf::Bpaf,
    error_stack::Report,
    mangowalk_core::{
        edge::Platform,
        platform::{Object, ObjectKey},
        record::{Kind, parse},
        status::RecordStatus,
    },
};

/// Arguments of `show`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct Show {
    #[bpaf(external(common))]
    common: Common,

    #[bpaf(external(kind))]
    kind: Kind,

    /// Name of the record
    #[bpaf(positional("NAME"))]
    name: String,
}

impl Show {
    /// Prints the record in the form that `apply` reads, so that it can be
    /// edited and written back over the version shown. Messages on standard
    /// error say whether the record is valid and in force.
    pub(crate) fn run(&self) -> Result<(), Report<Failure>> {
        let key = ObjectKey::new(&self.kind.to_string(), &self.name);
        let platform = self.common.platform();
        let stored =
            read(&platform, &key)?.ok_or_else(|| Failure::RecordNotFound { key: key.clone() })?;
        if let Err(error) = parse(self.kind, &stored.body) {
            progress(&format!("This client would refuse the record. {error}"));
        }
        if let Some(status) = current_status(&platform, &stored)? {
            progress(&status.text());
        }
        let file = RecordFile {
            kind: self.kind,
            name: self.name.clone(),
            version: Some(stored.version),
            record: stored.body,
        };
        Output { json: true }.print(&file, "");
        Ok(())
    }
}

/// Returns the status published for a record, if it is about the stored
/// version.
fn current_status(
    platform: &dyn Platform,
    stored: &Object,
) -> Result<Option<RecordStatus>, Report<Failure>> {
    let key = RecordStatus::key(&stored.key.kind, &stored.key.name);
    let status = read(platform, &key)?
        .and_then(|object| serde_json::from_value::<RecordStatus>(object.body).ok());
    Ok(status.filter(|s| s.version == stored.version))
}
