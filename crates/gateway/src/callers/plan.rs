use {
    super::{
        attempt::{Outcome, Try},
        request::CallerRequest,
    },
    mangowalk_core::pool::{
        CacheSource, ChoiceSettings, EngineEntry, EngineRequirements, KnownEngine, ListingStatus,
        Load, choose, find_cache_source, kv_store_key, retry_after_ms,
    },
    mangowalk_platform::{Forward, forward_headers},
    std::net::SocketAddr,
};

/// Shared tokens from which on they are fetched from another engine. Setting a
/// transfer up takes about as long as reading a hundred.
const LEAST_NEAR_TOKENS: u64 = 100;

/// Shared tokens from which on they are kept in, and fetched from, the store.
/// Its link and memory are one for all: with short parts there as well, first
/// events came twice as late (median 42 to 89 ms on a full day).
const LEAST_FETCH_TOKENS: u64 = 512;

/// What was decided on a send.
pub(super) struct Plan {
    pub(super) load: Load,
    pub(super) seen: Seen,
    pub(super) version: u64,
    pub(super) is_kept: bool,
    pub(super) salt: Option<String>,
    pub(super) fetch_from: Option<SocketAddr>,
    pub(super) save_to: Option<SocketAddr>,
}

/// Work at the engine when it was chosen.
pub(super) struct Seen {
    pub(super) own: Load,
    pub(super) others: Load,
}

/// Chooses an engine, unless the request would wait too long there.
pub(super) fn place(
    request: &CallerRequest,
    this: &Try<'_>,
    now_ms: u64,
) -> Result<(EngineEntry, Plan), Outcome> {
    let instance = &request.instance;
    let need = &request.need;
    let routes = instance.routes.borrow();
    let limits = routes
        .service(&need.service)
        .and_then(|service| service.engine);
    let memory_tokens = limits.map_or(u64::MAX, |limits| limits.memory_tokens);
    let mut engines = instance.engines.borrow_mut();
    let count = engines.accepting_engines(&need.service, now_ms).count();
    let settings = &adapted(request, memory_tokens, count, now_ms);
    let chosen = choose(
        engines
            .accepting_engines(&need.service, now_ms)
            .filter(|belief| !this.tried.contains(&belief.entry.incarnation.id)),
        need,
        request.wanted(now_ms),
        memory_tokens,
        settings,
        rand::random(),
        now_ms,
    )
    .ok_or(Outcome::NoEngine)?;
    if need.model.is_some() && this.may_be_refused {
        let admit = &instance.settings.admit;
        let rate = instance.read_rate.get();
        let is_first = request.is_first();
        let target_ms = request.route.target_ms;
        let own_tokens = need.prompt_tokens.saturating_sub(need.shared_tokens());
        if let Some(return_ms) =
            retry_after_ms(chosen, &rate, admit, own_tokens, target_ms, is_first)
        {
            log::warn!(
                "event=full request={} engine={} wait_ms={:.0} target_ms={target_ms} own={} others={} read_per_ms={:.1}",
                request.id(),
                chosen.entry.incarnation.id,
                rate.prefill_ms(f64::from(chosen.load().prefill_tokens)),
                chosen.own.prefill_tokens,
                chosen.others.prefill_tokens,
                rate.tokens_per_ms(),
            );
            return Err(Outcome::Full(return_ms));
        }
    }
    let stores = &routes.configuration().services;
    let store = stores
        .iter()
        .find_map(|service| service.kv_cache_store.as_ref());
    let store = store.map(|store| store.address);
    let draw = rand::random();
    let holder = find_cache_source(
        chosen,
        need,
        engines.iter(),
        settings.retention_ms,
        draw,
        now_ms,
    );
    let plan = plan(
        request,
        this,
        chosen,
        store,
        holder,
        settings.retention_ms,
        now_ms,
    );
    if need.model.is_some() {
        let mut turnover = instance.turnover.get();
        turnover.record_sent(taken_in(need, plan.is_kept), now_ms);
        instance.turnover.set(turnover);
    }
    let entry = chosen.entry.clone();
    let standing = engines.listing_status(&entry.incarnation.id, now_ms);
    log_uncertain(request, &entry, standing);
    if let Some(belief) = engines.get_mut(&entry.incarnation.id) {
        belief.health.record_sent(&settings.health, now_ms);
    }
    Ok((entry, plan))
}

/// Logs why an engine was chosen that may have left.
fn log_uncertain(request: &CallerRequest, entry: &EngineEntry, standing: Option<ListingStatus>) {
    let instance = &request.instance;
    let Some(standing) = standing else {
        return;
    };
    let Some(doubt) = standing.departure_suspicion(instance.settings.list_fresh_ms()) else {
        return;
    };
    instance.counters.count("uncertain_engine", doubt.label());
    log::info!(
        "event=uncertain_engine request={} engine={} reason={doubt} entry_revision={} \
         list_revision={} list_age_ms={} missing_ms={} departure_revision={} \
         reported_by={} reported_ago_ms={}",
        request.id(),
        entry.incarnation.id,
        standing.entry_revision,
        standing.list_revision,
        standing.list_age_ms,
        or_none(standing.missing_ms),
        or_none(standing.departure.map(|departure| departure.revision)),
        or_none(standing.reported_by),
        or_none(standing.reported_ago_ms),
    );
}

fn or_none(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "none".to_owned(), |value| value.to_string())
}

/// Returns the settings of the choice, with what was learned while serving.
fn adapted(
    request: &CallerRequest,
    memory_tokens: u64,
    engines: usize,
    now_ms: u64,
) -> ChoiceSettings {
    let instance = &request.instance;
    let choice = instance.settings.choice;
    let turnover = instance.turnover.get();
    let usual = instance.usual_prompt.get();
    ChoiceSettings {
        sample: usual.sample_size(choice.sample, request.need.prompt_tokens),
        retention_ms: turnover.retention_ms(memory_tokens, engines, instance.instances(), now_ms),
        ..choice
    }
}

/// Returns the tokens that an engine has to make room for.
fn taken_in(need: &EngineRequirements, is_kept: bool) -> u64 {
    let kept_tokens = if is_kept { need.shared_tokens() } else { 0 };
    need.memory_tokens.saturating_sub(kept_tokens)
}

fn plan(
    request: &CallerRequest,
    this: &Try<'_>,
    belief: &KnownEngine,
    store: Option<SocketAddr>,
    holder: Option<CacheSource>,
    kept_ms: u64,
    now_ms: u64,
) -> Plan {
    let need = &request.need;
    let version = need.model.as_ref().map_or(0, |model| belief.version(model));
    let is_kept = need
        .shared_part()
        .is_some_and(|part| belief.has_cached(part, kept_ms, now_ms));
    let shared_tokens = need.shared_tokens();
    let worth_fetching = version > 0 && shared_tokens >= LEAST_FETCH_TOKENS;
    let holder = holder.filter(|holder| version > 0 && holder.tokens >= LEAST_NEAR_TOKENS);
    let salt = need.model.as_ref().map(|_| salt(request, version));
    let mut kept = request.instance.kept.borrow_mut();
    let store = store.filter(|_| worth_fetching && kept.is_up());
    let shared = need.parts.iter().rev().nth(1);
    let is_saved = salt
        .as_ref()
        .zip(shared)
        .is_some_and(|(salt, part)| kept.holds(kv_store_key(salt, part.id)));
    // Another engine's link is faster than the store's, but its memory turns
    // over within seconds.
    let (fetch_from, fetched_tokens) = match (is_saved, holder) {
        (true, _) => (store, shared_tokens),
        (false, Some(holder)) => (Some(holder.address), holder.tokens),
        (false, None) => (store, 0),
    };
    let is_asked = store.is_some()
        && !is_saved
        && need
            .shared_part()
            .is_some_and(|part| kept.claim_save(part, now_ms));
    Plan {
        load: Load {
            requests: 1,
            memory_tokens: need.memory_tokens as u32,
            prefill_tokens: unread(need, is_kept, fetched_tokens) as u32,
            must_finish: u32::from(!this.may_go_on),
        },
        seen: Seen {
            own: belief.own,
            others: belief.others,
        },
        version,
        is_kept,
        fetch_from,
        save_to: store.filter(|_| is_asked),
        salt,
    }
}

/// Rank of a stream that goes on after a cut. Its caller is reading; a pause
/// in the queue makes the whole stream late.
const RESUMED_URGENCY: u8 = 0;

/// Part of the shared tokens that fetching them takes of an engine's time, as
/// if they were read.
const FETCHED: f64 = 0.2;

/// Returns the tokens that an engine has to read, as far as known.
fn unread(need: &EngineRequirements, is_kept: bool, fetched_tokens: u64) -> u64 {
    let shared = need.shared_tokens().min(need.prompt_tokens);
    let own = need.prompt_tokens - shared;
    if is_kept {
        return own;
    }
    let fetched = fetched_tokens.min(shared);
    need.prompt_tokens - fetched + (fetched as f64 * FETCHED) as u64
}

/// Returns the text under which an engine keeps the prompt's parts.
///
/// It holds the weights: a store keeps parts beyond a change of weights and
/// doesn't know under which they were made. It holds the team where the team
/// is isolated, so that no other finds them.
fn salt(request: &CallerRequest, version: u64) -> String {
    let isolated = request.tenant.as_ref().filter(|tenant| tenant.isolated);
    match isolated {
        Some(tenant) => format!("w{version}.{}", tenant.name),
        None => format!("w{version}"),
    }
}

/// Returns the headers of the request for the engine.
pub(super) fn headers(
    request: &CallerRequest,
    this: &Try<'_>,
    engine: &EngineEntry,
    plan: &Plan,
    left_ms: u64,
) -> Option<http::HeaderMap> {
    let forward = Forward {
        engine: &engine.incarnation.id,
        left_ms,
        tenant: request.tenant.as_ref().map(|tenant| tenant.name.as_str()),
        cache_salt: plan.salt.as_deref(),
        expect_version: (plan.version > 0).then_some(plan.version),
        urgency: request.need.model.as_ref().map(|_| match this.is_resumed {
            true => RESUMED_URGENCY,
            false => request.urgency(),
        }),
        fetch_from: plan.fetch_from,
        save_to: plan.save_to,
        last_event_id: this.last_event_id,
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
