use {
    super::{
        Refusal,
        request::{CallerRequest, Origin},
    },
    crate::{
        clock::now_ms,
        mesh::{FoundOrigin, find_origin},
    },
    mangowalk_core::origin::{EngineBuild, StreamKey},
    mangowalk_platform::required_build,
};

/// Binds a request that takes up a stream to the software version that began the stream.
///
/// # Errors
///
/// Returns the refusal for the caller if that version isn't known or no engine has it.
pub(super) async fn bind_taken_up(request: &mut CallerRequest) -> Result<(), Refusal> {
    let required = match request.origin {
        Origin::Peer => required_build(&request.headers).map_err(Refusal::BadHead)?,
        Origin::Caller => None,
    };
    if required.is_none() && !request.takes_up_stream() {
        return Ok(());
    }
    let build = match required {
        Some(build) => Some(build),
        None => find_build(request).await,
    };
    let service = build.and_then(|build| service_with(request, build));
    let (Some(build), Some(service)) = (build, service) else {
        let outcome = build.map_or("unknown", |_| "no_engine");
        request.instance.counters.count("taken_up", outcome);
        log::warn!(
            "event=not_taken_up request={} resumes={:?} reason={outcome}",
            request.id(),
            request.head.resumes,
        );
        return Err(Refusal::UnknownOrigin);
    };
    request.instance.counters.count("taken_up", "bound");
    request.requirements.service = service;
    request.build = Some(build);
    Ok(())
}

/// Finds the build that began the stream, and logs on what ground.
async fn find_build(request: &CallerRequest) -> Option<EngineBuild> {
    let named = request.head.resumes.as_deref();
    let key = named.map(|id| StreamKey::new(request.team(), id));
    let service = match request.route.services.as_slice() {
        [only] => only.service.as_str(),
        _ => "",
    };
    let instance = &request.instance;
    let found = find_origin(instance, key, service).await;
    log_found(request, &found);
    instance
        .counters
        .count("stream_ground", found.ground.name());
    found.build
}

fn log_found(request: &CallerRequest, found: &FoundOrigin) {
    let builds = request.instance.origins.listed_builds.borrow();
    log::info!(
        "event=stream_ground request={} resumes={:?} ground={} build={} asked={} answered={} \
         list_age_ms={:?}",
        request.id(),
        request.head.resumes,
        found.ground,
        found
            .build
            .map_or("unknown".to_owned(), |build| build.to_string()),
        found.asked,
        found.answered,
        builds.list_age_ms(now_ms()),
    );
}

/// Returns the service of the route that has engines of a build. The operator may have
/// moved the route to another one.
fn service_with(request: &CallerRequest, build: EngineBuild) -> Option<String> {
    let engines = request.instance.engines.borrow();
    let engine = engines.iter().find(|engine| engine.build == Some(build))?;
    let service = &engine.entry.service;
    let mut services = request.route.services.iter();
    let is_routed = services.any(|share| share.service == *service);
    is_routed.then(|| service.clone())
}
