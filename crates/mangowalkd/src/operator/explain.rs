use {
    super::candidates::PlacementPreview,
    crate::{serve::version_of, shared_state::SharedState},
    mangowalk_core::{
        config::View,
        limits::refill_ms,
        placement::estimate_tokens,
        record::Rate,
        refusal::Refusal,
        status::{ExplainReply, ExplainRequest},
    },
};

/// Returns what the instance would do with a request now. The request spends no
/// tokens, and is neither queued nor sent.
pub(super) fn explain(shared: &SharedState, request: &ExplainRequest, now_ms: u64) -> ExplainReply {
    let view = shared.config.view();
    let mut reply = ExplainReply {
        engine: None,
        refusal: None,
        steps: Vec::new(),
        candidates: Vec::new(),
    };
    let refused = admit(&mut reply.steps, shared, &view, request, now_ms)
        .and_then(|()| choose_engine(&mut reply, shared, &view, request, now_ms));
    reply.refusal = refused.err().map(|refusal| refusal.to_string());
    reply
}

/// Runs the checks of admission before the queue, and appends a line for each to
/// `steps`.
fn admit(
    steps: &mut Vec<String>,
    shared: &SharedState,
    view: &View,
    request: &ExplainRequest,
    now_ms: u64,
) -> Result<(), Refusal> {
    let (team, model) = (&request.team, &request.model);
    if !view.teams.contains_key(team) {
        steps.push(format!("Team {team} has no record, so no key of it works."));
        return Err(Refusal::Unauthorized);
    }
    steps.push(format!("Team {team} is known."));
    let Some(offered) = view.models.get(model) else {
        steps.push(format!("Model {model} has no record."));
        return Err(Refusal::NotFound {
            what: "Model",
            name: model.clone(),
        });
    };
    let version = &offered.version;
    steps.push(format!("Model {model} is offered at version {version}."));
    let tokens = estimate_tokens(&request.prompt) + u64::from(request.max_tokens);
    let Some(rate) = view.rates.get(team) else {
        steps.push(format!(
            "Team {team} has no rate, so no request is admitted."
        ));
        return Err(Refusal::RateLimited { retry_ms: 60_000 });
    };
    steps.push(format!(
        "The request reserves {tokens} tokens; team {team} has {} a second and a burst of {}.",
        rate.tokens_per_s, rate.burst_tokens
    ));
    if tokens > rate.burst_tokens {
        return Err(Refusal::OverBurst {
            reserve_tokens: tokens,
            burst_tokens: rate.burst_tokens,
        });
    }
    reserve(steps, shared, rate, request, tokens, now_ms)
}

/// Checks whether the request would get its tokens. Tokens that are taken are
/// refunded immediately.
fn reserve(
    steps: &mut Vec<String>,
    shared: &SharedState,
    rate: &Rate,
    request: &ExplainRequest,
    tokens: u64,
    now_ms: u64,
) -> Result<(), Refusal> {
    let (limits, team) = (&shared.limits, &request.team);
    let shares = limits.slots(now_ms);
    if let Some(reservation) = limits.take(team, rate, tokens, now_ms) {
        limits.settle(&reservation, 0);
        steps.push(format!(
            "This instance holds {shares} slots and has the tokens at hand."
        ));
        return Ok(());
    }
    steps.push(format!(
        "This instance holds {shares} slots and lacks the tokens; it would ask other instances."
    ));
    match limits.shortages(|s| s.certain_shortage(team, rate, tokens, now_ms)) {
        Some(missing_tokens) => {
            steps.push(format!(
                "The last query of other instances found {missing_tokens} tokens too few."
            ));
            Err(Refusal::RateLimited {
                retry_ms: refill_ms(rate, missing_tokens),
            })
        }
        None => Ok(()),
    }
}

/// Chooses an engine as placement does, and adds the candidates to the reply.
fn choose_engine(
    reply: &mut ExplainReply,
    shared: &SharedState,
    view: &View,
    request: &ExplainRequest,
    now_ms: u64,
) -> Result<(), Refusal> {
    let unavailable = |reason| Refusal::Unavailable {
        reason,
        retry_ms: 1_000,
    };
    let version = version_of(shared, &request.team, &request.model, &request.prompt)
        .ok_or_else(|| unavailable("No engine serves the model now"))?;
    let preview = PlacementPreview::new(shared, view, request, &version, now_ms);
    reply.candidates = preview.candidates();
    reply.steps.push(format!(
        "The prompt has {} whole blocks, and {} requests wait for an engine.",
        preview.blocks(),
        shared.dispatch.queued()
    ));
    let choice = preview
        .choice()
        .ok_or_else(|| unavailable("Every engine is full; the request would wait or be refused"))?;
    reply.steps.push(format!(
        "Of {} engines compared, {} has the earliest expected first token.",
        choice.candidate_count, choice.engine
    ));
    reply.engine = Some(choice.engine);
    Ok(())
}
