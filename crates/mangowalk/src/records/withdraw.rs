use {
    super::{Action, WriteResult, delete, read},
    crate::{
        cli::{Common, common, kind},
        failure::Failure,
        fleet::{Wait, wait},
    },
    bpaf::Bpaf,
    error_stack::Report,
    mangowalk_core::{edge::Platform, platform::ObjectKey, record::Kind},
};

/// Arguments of `withdraw`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct Withdraw {
    #[bpaf(external(common))]
    common: Common,

    #[bpaf(external(wait))]
    wait: Wait,

    /// Withdraw only if the record is at this version.
    #[bpaf(long("if-version"), argument("VERSION"), optional)]
    expected_version: Option<u64>,

    #[bpaf(external(kind))]
    kind: Kind,

    /// Name of the record
    #[bpaf(positional("NAME"))]
    name: String,
}

impl Withdraw {
    /// Deletes the record and prints the result.
    pub(crate) fn run(&self) -> Result<(), Report<Failure>> {
        let key = ObjectKey::new(&self.kind.to_string(), &self.name);
        let platform = self.common.platform();
        let result = withdraw_record(&platform, key, self.expected_version)?;
        self.common.output().print(&result, &result.text());
        self.wait.until_in_force(&platform, result.version)
    }
}

/// Deletes the current version of a record, or only `expected_version` if that
/// is given.
///
/// # Errors
///
/// Returns [`Failure::RecordNotFound`] if there is no such record, and
/// [`Failure::Conflict`] if it has another version.
pub(crate) fn withdraw_record(
    platform: &dyn Platform,
    key: ObjectKey,
    expected_version: Option<u64>,
) -> Result<WriteResult, Report<Failure>> {
    let stored =
        read(platform, &key)?.ok_or_else(|| Failure::RecordNotFound { key: key.clone() })?;
    if expected_version.is_some_and(|version| version != stored.version) {
        return Err(Report::new(Failure::Conflict {
            key,
            version: stored.version,
        }));
    }
    let version = delete(platform, &key, stored.version)?;
    Ok(WriteResult {
        key,
        action: Action::Withdrawn,
        version,
        changes: Vec::new(),
    })
}
