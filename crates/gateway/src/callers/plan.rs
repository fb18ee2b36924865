use {
    super::{
        attempt::{AttemptContext, Outcome},
        backlog::{UrgentProtection, is_active},
        request::CallerRequest,
        software_lane::{new_engines, software_lane},
    },
    mangowalk_core::{
        kv_store::kv_store_key,
        origin::EngineBuild,
        pool::{
            CacheSource, ChoiceSettings, EngineEntry, EngineRequirements, EngineTable, KnownEngine,
            ListingStatus, Load, Standing, choose, choose_for_begun, choose_in_lane,
            find_cache_source, max_sample, retry_after_ms,
        },
    },
    mangowalk_platform::{Forward, forward_headers},
    std::net::SocketAddr,
};

/// Minimum number of shared tokens to be fetched from another engine. Setting up
/// a transfer takes about as long as prefilling 100 tokens.
const MIN_ENGINE_FETCH_TOKENS: u64 = 100;

/// Minimum number of shared tokens to be saved in and fetched from the KV cache
/// store. All engines share its link and memory: with shorter parts in it as
/// well, the median time to the first event rose from 42 to 89 ms over a full
/// day.
const MIN_STORE_TOKENS: u64 = 512;

/// Time after which a caller may retry if no engine has a build that is kept in the store. It
/// is written there as soon as its first engine is listed.
const KEPT_RETRY_MS: u64 = 250;

/// How a request is sent to the chosen engine.
pub(super) struct SendPlan {
    /// Load that the request adds to the engine.
    pub(super) load: Load,
    pub(super) load_at_choice: LoadAtChoice,
    /// Whether new requests to the engine were paused when it was chosen.
    pub(super) is_paused: bool,
    /// Weights version that the engine is expected to have; 0 if none is.
    pub(super) version: u64,
    /// Whether the engine is expected to have the shared part in its cache.
    pub(super) is_cached: bool,
    /// Salt of the cached parts. `None` for requests without a model.
    pub(super) cache_salt: Option<String>,
    /// Engine or KV cache store from which the engine fetches the shared part.
    pub(super) fetch_from: Option<SocketAddr>,
    /// KV cache store in which the engine saves the shared part.
    pub(super) save_to: Option<SocketAddr>,
}

/// Known load of the engine when it was chosen, of this instance and of the
/// others.
pub(super) struct LoadAtChoice {
    pub(super) own: Load,
    pub(super) others: Load,
}

/// Chooses an engine for the request and records the send in its state.
///
/// # Errors
///
/// Returns [`Outcome::NoEngine`] if no engine can take the request, and
/// [`Outcome::QueueTooLong`] if it would wait too long at the best one.
pub(super) fn choose_engine(
    request: &CallerRequest,
    context: &AttemptContext<'_>,
    now_ms: u64,
) -> Result<(EngineEntry, SendPlan), Outcome> {
    let instance = &request.instance;
    let requirements = &request.requirements;
    let routes = instance.routes.borrow();
    let limits = routes
        .service(&requirements.service)
        .and_then(|service| service.engine);
    let memory_tokens = limits.map_or(u64::MAX, |limits| limits.memory_tokens);
    let mut engines = instance.engines.borrow_mut();
    let count = engines
        .accepting_engines(&requirements.service, now_ms)
        .count();
    if context.is_first && context.place.is_none() && is_active(request) {
        instance.record_arrival(now_ms);
    }
    let settings = &adapted_choice(request, memory_tokens, count, now_ms);
    let version_bounds = request.version_bounds(now_ms);
    let draw = rand::random();
    let needs_kept_build = context.build.is_none() && request.route.retry.is_stream();
    let is_open = |known_engine: &KnownEngine| {
        context
            .build
            .is_none_or(|build| known_engine.build == Some(build))
            && (known_engine.is_build_kept || !needs_kept_build)
            && !context
                .tried_engines
                .contains(&known_engine.entry.incarnation.id)
            && spares_brittle(request, known_engine, memory_tokens, now_ms)
            && instance.is_within_limit(known_engine, now_ms)
            && !is_barred(request, &engines, known_engine, now_ms)
    };
    let open_engines = engines
        .accepting_engines(&requirements.service, now_ms)
        .filter(|known_engine| is_open(known_engine));
    let protection = UrgentProtection::new(
        request,
        context,
        open_engines,
        settings.retention_ms,
        now_ms,
    );
    if protection.is_bounded() {
        // One pass over the engines: requests that wait ask often, and mostly in vain.
        let mut accepting = engines.accepting_engines(&requirements.service, now_ms);
        let is_free = |engine: &KnownEngine| is_open(engine) && protection.admits(engine);
        let has_free = accepting.any(is_free);
        if let Some(retry_ms) = protection.retry_ms().filter(|_| !has_free) {
            return Err(Outcome::QueueTooLong(retry_ms));
        }
    }
    let choose_with = |standing: Standing, usable: &dyn Fn(&KnownEngine) -> bool| {
        choose(
            engines
                .serving_engines(&requirements.service, standing, now_ms)
                .filter(|known_engine| {
                    usable(known_engine) && is_open(known_engine) && protection.admits(known_engine)
                }),
            requirements,
            version_bounds,
            memory_tokens,
            settings,
            draw,
            now_ms,
        )
    };
    // An engine that leaves gets only what no other one can take.
    let choose_among = |usable: &dyn Fn(&KnownEngine) -> bool| {
        choose_with(Standing::Staying, usable).or_else(|| choose_with(Standing::Departing, usable))
    };
    let lane = software_lane(request, context, now_ms);
    let queue_retry_ms = |engine: &KnownEngine| match protection.replaces_max_wait(engine) {
        true => None,
        false => queue_retry_ms(request, context, engine, now_ms),
    };
    let admits = |engine: &KnownEngine| queue_retry_ms(engine).is_none();
    let new_engines = new_engines(&engines, &requirements.service);
    let chosen = match context.build {
        Some(_) => choose_for_begun(choose_among),
        None => choose_in_lane(lane, &new_engines, choose_among, admits),
    };
    let Some((chosen, lane)) = chosen else {
        if let Some(retry_ms) = protection.retry_ms() {
            return Err(Outcome::QueueTooLong(retry_ms));
        }
        let mut accepting = engines.accepting_engines(&requirements.service, now_ms);
        if needs_kept_build && accepting.any(|known_engine| !known_engine.is_build_kept) {
            return Err(Outcome::QueueTooLong(KEPT_RETRY_MS));
        }
        return Err(lack_of_engines(request, context.build, &engines, now_ms));
    };
    if let Some(retry_ms) = queue_retry_ms(chosen) {
        if context.place.is_none() {
            log_full(request, chosen, now_ms);
        }
        return Err(Outcome::QueueTooLong(retry_ms));
    }
    let draw = rand::random();
    let source = find_cache_source(
        chosen,
        requirements,
        engines
            .iter()
            .filter(|source| !engines.is_replaced(source, now_ms))
            .filter(|source| !is_barred(request, &engines, source, now_ms)),
        settings.retention_ms,
        draw,
        now_ms,
    );
    let plan = plan(
        request,
        context,
        chosen,
        source,
        settings.retention_ms,
        now_ms,
    );
    if requirements.model.is_some() {
        let mut turnover = instance.turnover.get();
        turnover.record_sent(new_memory_tokens(requirements, plan.is_cached), now_ms);
        instance.turnover.set(turnover);
    }
    let mut software = instance.software.borrow_mut();
    software.record_sent(&requirements.service, lane, context.is_first, now_ms);
    drop(software);
    let entry = chosen.entry.clone();
    let mut engine_limits = instance.engine_limits.borrow_mut();
    engine_limits.record_sent(&entry.incarnation);
    drop(engine_limits);
    let listing_status = engines.listing_status(&entry.incarnation.id, now_ms);
    log_uncertain(request, &entry, listing_status);
    if let Some(known_engine) = engines.get_mut(&entry.incarnation.id) {
        known_engine.health.record_sent(&settings.health, now_ms);
    }
    Ok((entry, plan))
}

/// Returns whether an engine wants no such request now. Unlike a pause, this is no preference:
/// the request is refused if no other engine takes it.
fn is_barred(
    request: &CallerRequest,
    engines: &EngineTable,
    engine: &KnownEngine,
    now_ms: u64,
) -> bool {
    let notices = engines.notices();
    let settings = &request.instance.settings.notices;
    let incarnation = &engine.entry.incarnation;
    let barrier = notices.barrier(incarnation, request.arrived_ms, settings, now_ms);
    barrier.is_some()
}

/// Returns why no engine takes a request: all that would, at the build where its stream goes
/// on if there is one, have asked for rest, or there is none.
pub(super) fn lack_of_engines(
    request: &CallerRequest,
    build: Option<EngineBuild>,
    engines: &EngineTable,
    now_ms: u64,
) -> Outcome {
    let settings = &request.instance.settings;
    let is_usable = |engine: &KnownEngine| {
        !engine.is_excluded(&settings.choice.health, now_ms)
            && build.is_none_or(|build| engine.build == Some(build))
    };
    let service = &request.requirements.service;
    let rest_ms = engines.all_rest_for_ms(service, is_usable, &settings.notices, now_ms);
    rest_ms.map_or(Outcome::NoEngine, Outcome::EnginesRest)
}

/// Returns whether a request may be sent to an engine without the risk that the engine
/// falls over because it has to reject too much. True for engines that don't.
fn spares_brittle(
    request: &CallerRequest,
    engine: &KnownEngine,
    memory_tokens: u64,
    now_ms: u64,
) -> bool {
    let instance = &request.instance;
    let mut brittle = instance.brittle.borrow_mut();
    if !brittle.is_brittle(&engine.entry.service, now_ms) {
        return true;
    }
    let needed = u64::from(engine.load().memory_tokens) + request.requirements.memory_tokens;
    let rank = || instance.rank_at(&engine.entry.incarnation.id, now_ms);
    needed <= memory_tokens
        && brittle.admits(
            engine,
            instance.instance_count(),
            &instance.settings.brittle,
            rank,
            now_ms,
        )
}

/// Returns the time after which the caller should retry if the request would wait too
/// long at an engine, or `None` if it is admitted there.
fn queue_retry_ms(
    request: &CallerRequest,
    context: &AttemptContext<'_>,
    engine: &KnownEngine,
    now_ms: u64,
) -> Option<u64> {
    let requirements = &request.requirements;
    if requirements.model.is_none() || !context.may_be_refused {
        return None;
    }
    let instance = &request.instance;
    retry_after_ms(
        engine,
        &instance.prefill_rate.get(),
        &instance.settings.admission,
        requirements
            .prompt_tokens
            .saturating_sub(requirements.shared_tokens()),
        request.route.target_ms,
        request.has_first_priority(),
        now_ms,
    )
}

/// Logs that a request would wait too long at the best engine.
fn log_full(request: &CallerRequest, engine: &KnownEngine, now_ms: u64) {
    let rate = request.instance.prefill_rate.get();
    let slowdown = engine.slowdown(now_ms);
    log::warn!(
        "event=full request={} engine={} wait_ms={:.0} target_ms={} own={} others={} read_per_ms={:.1} slowdown={slowdown:.2}",
        request.id(),
        engine.entry.incarnation.id,
        rate.prefill_ms(f64::from(engine.load().prefill_tokens)) * slowdown,
        request.route.target_ms,
        engine.own.prefill_tokens,
        engine.others.prefill_tokens,
        rate.tokens_per_ms(),
    );
}

/// Counts and logs the choice of an engine that may have left, with the reason for
/// the suspicion. Does nothing if there is no suspicion.
fn log_uncertain(
    request: &CallerRequest,
    entry: &EngineEntry,
    listing_status: Option<ListingStatus>,
) {
    let instance = &request.instance;
    let Some(listing_status) = listing_status else {
        return;
    };
    let Some(suspicion) = listing_status.departure_suspicion(instance.settings.max_list_age_ms())
    else {
        return;
    };
    instance
        .counters
        .count("uncertain_engine", suspicion.label());
    log::info!(
        "event=uncertain_engine request={} engine={} reason={suspicion} entry_revision={} \
         list_revision={} list_age_ms={} missing_ms={} departure_revision={} \
         reported_by={} reported_ago_ms={}",
        request.id(),
        entry.incarnation.id,
        listing_status.entry_revision,
        listing_status.list_revision,
        listing_status.list_age_ms,
        or_none(listing_status.missing_ms),
        or_none(listing_status.departure.map(|departure| departure.revision)),
        or_none(listing_status.reported_by),
        or_none(listing_status.reported_ago_ms),
    );
}

fn or_none(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "none".to_owned(), |value| value.to_string())
}

/// Returns the settings of the choice, adapted to the observed prompt lengths
/// and cache turnover.
fn adapted_choice(
    request: &CallerRequest,
    memory_tokens: u64,
    engines: usize,
    now_ms: u64,
) -> ChoiceSettings {
    let instance = &request.instance;
    let choice = instance.settings.choice;
    let turnover = instance.turnover.get();
    let mean_prompt = instance.mean_prompt_length.get();
    let requirements = &request.requirements;
    let mut sampled_engines =
        mean_prompt.sample_size(choice.sampled_engines, requirements.prompt_tokens);
    let mut home_tokens = choice.home_tokens;
    let mut newest_within = choice.newest_within_tokens;
    if is_active(request) {
        let arrivals = instance.arrivals_per_interval(now_ms) / engines.max(1) as f64;
        let routes = instance.routes.borrow();
        let service = routes.service(&requirements.service);
        let engine = service.and_then(|service| service.engine);
        let slots = engine.map_or(u32::MAX, |engine| engine.slots);
        sampled_engines = sampled_engines.min(max_sample(arrivals, slots));
        // A home saves no more than the reading of the shared part.
        home_tokens = home_tokens.min(requirements.shared_tokens() as f64);
        newest_within = newest_within_tokens(request);
    }
    ChoiceSettings {
        sampled_engines,
        home_tokens,
        retention_ms: turnover.retention_ms(
            memory_tokens,
            engines,
            instance.instance_count(),
            now_ms,
        ),
        newest_within_tokens: newest_within,
        ..choice
    }
}

/// Returns the work until the first event up to which a request prefers engines whose weights
/// aren't replaced: it is answered within its target and not refused.
fn newest_within_tokens(request: &CallerRequest) -> f64 {
    let instance = &request.instance;
    let target_ms = request.route.target_ms as f64;
    let factor = instance.settings.admission.max_wait_factor.min(1.0);
    instance.prefill_rate.get().tokens_per_ms() * target_ms * factor
}

/// Returns the tokens that an engine has to take into its memory.
fn new_memory_tokens(requirements: &EngineRequirements, is_cached: bool) -> u64 {
    let cached_tokens = if is_cached {
        requirements.shared_tokens()
    } else {
        0
    };
    requirements.memory_tokens.saturating_sub(cached_tokens)
}

/// Returns how the request is sent to an engine: the expected weights, where
/// the engine fetches the shared part, and whether it saves it.
fn plan(
    request: &CallerRequest,
    context: &AttemptContext<'_>,
    known_engine: &KnownEngine,
    source: Option<CacheSource>,
    retention_ms: u64,
    now_ms: u64,
) -> SendPlan {
    let requirements = &request.requirements;
    let version = requirements
        .model
        .as_ref()
        .map_or(0, |model| known_engine.version(model));
    let is_cached = requirements
        .shared_part()
        .is_some_and(|part| known_engine.has_cached(part, retention_ms, now_ms));
    let shared_tokens = requirements.shared_tokens();
    let is_worth_storing = version > 0 && shared_tokens >= MIN_STORE_TOKENS;
    let source = source.filter(|source| version > 0 && source.tokens >= MIN_ENGINE_FETCH_TOKENS);
    let cache_salt = requirements
        .model
        .as_ref()
        .map(|_| cache_salt(request, known_engine, version));
    let mut stores = request.instance.kv_stores.borrow_mut();
    let shared = requirements.parts.iter().rev().nth(1);
    let shared = shared.filter(|_| is_worth_storing);
    let home = shared.and_then(|part| stores.home(part.id));
    let holder = cache_salt
        .as_ref()
        .zip(shared)
        .and_then(|(cache_salt, part)| stores.holder(kv_store_key(cache_salt, part.id)));
    // A store goes first if it holds the part. Another engine's link is faster,
    // but its memory turns over within seconds.
    let (fetch_from, fetched_tokens) = match (holder, source) {
        (Some(holder), _) => (Some(holder), shared_tokens),
        (None, Some(source)) => (Some(source.address), source.tokens),
        (None, None) => (home, 0),
    };
    let requests_save = holder.is_none()
        && home.is_some()
        && requirements
            .shared_part()
            .is_some_and(|part| stores.claim_save(part, now_ms));
    SendPlan {
        load: Load {
            requests: 1,
            memory_tokens: requirements.memory_tokens as u32,
            prefill_tokens: tokens_to_prefill(requirements, is_cached, fetched_tokens) as u32,
            must_finish: u32::from(!context.can_resume_elsewhere),
        },
        load_at_choice: LoadAtChoice {
            own: known_engine.own,
            others: known_engine.others,
        },
        is_paused: known_engine.is_paused(now_ms),
        version,
        is_cached,
        fetch_from,
        save_to: home.filter(|_| requests_save),
        cache_salt,
    }
}

/// Urgency of a resumed stream. Its caller is already reading, and waiting in the
/// queue would delay the rest of the stream.
const RESUMED_URGENCY: u8 = 0;

/// Engine time that fetching a token takes, relative to prefilling it.
const FETCH_COST_FACTOR: f64 = 0.2;

/// Returns the estimated tokens that an engine has to prefill, with fetched
/// tokens counted at their relative cost.
fn tokens_to_prefill(
    requirements: &EngineRequirements,
    is_cached: bool,
    fetched_tokens: u64,
) -> u64 {
    let shared = requirements.shared_tokens().min(requirements.prompt_tokens);
    let own = requirements.prompt_tokens - shared;
    if is_cached {
        return own;
    }
    let fetched = fetched_tokens.min(shared);
    requirements.prompt_tokens - fetched + (fetched as f64 * FETCH_COST_FACTOR) as u64
}

/// Returns the salt under which an engine caches the parts of the prompt.
///
/// It contains the version of the weights and the build of the engine's software, because
/// the KV cache store keeps parts across changes of both and doesn't know with which they
/// were computed; an engine whose software isn't known shares with no other one. It
/// contains the team's name if the team is isolated, so that no other team's requests find
/// its parts.
fn cache_salt(request: &CallerRequest, engine: &KnownEngine, version: u64) -> String {
    let software = match engine.build {
        Some(build) => build.to_string(),
        None => engine.entry.incarnation.id.clone(),
    };
    let isolated = request.tenant.as_ref().filter(|tenant| tenant.isolated);
    match isolated {
        Some(tenant) => format!("w{version}.{software}.{}", tenant.name),
        None => format!("w{version}.{software}"),
    }
}

/// Returns the headers of the request for the engine, or `None` if a value can't
/// be written as a header.
pub(super) fn headers(
    request: &CallerRequest,
    context: &AttemptContext<'_>,
    engine: &EngineEntry,
    plan: &SendPlan,
    left_ms: u64,
) -> Option<http::HeaderMap> {
    let forward = Forward {
        engine: &engine.incarnation.id,
        left_ms,
        tenant: request.tenant.as_ref().map(|tenant| tenant.name.as_str()),
        cache_salt: plan.cache_salt.as_deref(),
        expect_version: (plan.version > 0).then_some(plan.version),
        urgency: request
            .requirements
            .model
            .as_ref()
            .map(|_| match context.is_resumed {
                true => RESUMED_URGENCY,
                false => request.urgency(),
            }),
        fetch_from: plan.fetch_from,
        save_to: plan.save_to,
        last_event_id: context.last_event_id,
    };
    match forward_headers(&request.headers, &forward) {
        Ok(headers) => Some(headers),
        Err(error) => {
            log::warn!(
                "event=unwritable request={} error=\"{error}\"",
                request.id()
            );
            None
        }
    }
}
