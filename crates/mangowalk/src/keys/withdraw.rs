use {
    crate::{
        cli::{Common, common},
        failure::Failure,
        fleet::{Wait, wait},
        records::withdraw_record,
    },
    bpaf::Bpaf,
    error_stack::Report,
    mangowalk_core::{platform::ObjectKey, record::Kind},
};

/// Arguments of `key withdraw`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct WithdrawKey {
    #[bpaf(external(common))]
    common: Common,

    #[bpaf(external(wait))]
    wait: Wait,

    /// Name of the key's record, as `mangowalk list key` shows it
    #[bpaf(positional("NAME"))]
    name: String,
}

impl WithdrawKey {
    /// Deletes the key's record and prints the result.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::RecordNotFound`] if there is no such key.
    pub(crate) fn run(&self) -> Result<(), Report<Failure>> {
        let key = ObjectKey::new(&Kind::Key.to_string(), &self.name);
        let platform = self.common.platform();
        let result = withdraw_record(&platform, key, None)?;
        self.common.output().print(&result, &result.text());
        self.wait.until_in_force(&platform, result.version)
    }
}
