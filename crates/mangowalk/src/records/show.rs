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
        platform::ObjectKey,
        record::{Kind, parse},
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
    /// edited and written back over the version that was seen.
    pub(crate) fn run(&self) -> Result<(), Report<Failure>> {
        let key = ObjectKey::new(&self.kind.to_string(), &self.name);
        let held = read(&self.common.platform(), &key)?
            .ok_or_else(|| Failure::Missing { key: key.clone() })?;
        if let Err(error) = parse(self.kind, &held.body) {
            progress(&format!("This record is refused. {error}"));
        }
        let file = RecordFile {
            kind: self.kind,
            name: self.name.clone(),
            version: Some(held.version),
            record: held.body,
        };
        Output { json: true }.print(&file, "");
        Ok(())
    }
}
