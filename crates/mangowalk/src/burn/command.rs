use {
    super::table,
    crate::{
        cli::{Common, common},
        failure::Failure,
        fleet::{Survey, instances},
    },
    bpaf::Bpaf,
    error_stack::Report,
    mangowalk_core::burn::{BurnReport, InstanceBurn},
    serde::Serialize,
    std::net::SocketAddr,
};

/// Path of an instance's burn counts at its operator address.
const BURN_PATH: &str = "/burn";

/// Arguments of `burn`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct Burn {
    #[bpaf(external(common))]
    common: Common,

    /// Report on this team only.
    #[bpaf(long, argument("NAME"), optional)]
    team: Option<String>,
}

/// JSON output of `burn`.
#[derive(Serialize)]
struct BurnOutput<'a> {
    answered: Vec<SocketAddr>,
    silent: Vec<&'a str>,
    #[serde(flatten)]
    report: &'a BurnReport,
}

impl Burn {
    /// Sums the counts that all instances publish, and prints the report.
    ///
    /// # Errors
    ///
    /// Fails if the platform can't be read, or, after printing the report on
    /// the other instances, if an instance did not answer.
    pub(crate) fn run(&self) -> Result<(), Report<Failure>> {
        let instances = instances(&self.common.platform())?;
        let survey = Survey::<InstanceBurn>::collect(&instances, BURN_PATH);
        let published = survey
            .answered
            .iter()
            .flat_map(|s| &s.teams)
            .filter(|b| self.team.as_ref().is_none_or(|team| *team == b.team));
        let report = BurnReport::of(published);
        let output = BurnOutput {
            answered: survey.answered.iter().map(|s| s.caller_address).collect(),
            silent: survey.silent.iter().map(|s| s.name.as_str()).collect(),
            report: &report,
        };
        let text = table::text(&report, &survey);
        self.common.output().print(&output, &text);
        survey.ensure_complete()
    }
}
