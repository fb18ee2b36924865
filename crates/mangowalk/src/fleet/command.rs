use {
    super::{STATUS_PATH, Survey, instances, tables},
    crate::{
        cli::{Common, common},
        failure::Failure,
    },
    bpaf::Bpaf,
    error_stack::Report,
    mangowalk_core::{edge::Platform, record::Kind, status::InstanceStatus},
};

/// Arguments of `fleet`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct Fleet {
    #[bpaf(external(common))]
    common: Common,
}

impl Fleet {
    /// Shows instances, upstreams, and what configuration is in force.
    ///
    /// # Errors
    ///
    /// Fails if the platform can't be read, or, after printing the other
    /// instances, if an instance did not answer.
    pub(crate) fn run(&self) -> Result<(), Report<Failure>> {
        let platform = self.common.platform();
        let survey = Survey::<InstanceStatus>::collect(&instances(&platform)?, STATUS_PATH);
        let newest = newest_record(&platform)?;
        let text = tables::text(&survey, newest);
        self.common.output().print(&survey, &text);
        survey.ensure_complete()
    }
}

/// Returns the version of the record that was written last, 0 if there is none.
fn newest_record(platform: &dyn Platform) -> Result<u64, Report<Failure>> {
    let kinds: Vec<String> = Kind::WRITTEN_BY_OPERATORS
        .iter()
        .map(Kind::to_string)
        .collect();
    let kinds: Vec<&str> = kinds.iter().map(String::as_str).collect();
    let list = platform
        .list(&kinds)
        .map_err(|e| Failure::from_platform_error(&e))?;
    let versions = list.objects.iter().map(|o| o.version);
    Ok(versions.max().unwrap_or(0))
}
