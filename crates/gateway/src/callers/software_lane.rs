use {
    super::{attempt::AttemptContext, request::CallerRequest},
    mangowalk_core::{
        canary::{Lane, SoftwareRole},
        pool::EngineTable,
    },
};

/// Returns the engines to which the request may be sent because of their software.
pub(super) fn software_lane(
    request: &CallerRequest,
    context: &AttemptContext<'_>,
    now_ms: u64,
) -> Lane {
    let software = request.instance.software.borrow();
    let may_run_again = request.route.retry.may_run_again();
    let service = &request.requirements.service;
    software.lane(service, may_run_again, context.is_first, now_ms)
}

/// Returns the names of the engines with the version to which a service is to be moved.
pub(super) fn new_engines<'a>(engines: &'a EngineTable, service: &str) -> Vec<&'a str> {
    let new = engines.iter().filter(|engine| {
        engine.entry.service == service && engine.software_role == SoftwareRole::Candidate
    });
    new.map(|engine| engine.entry.incarnation.id.as_str())
        .collect()
}
