use {
    crate::board::{Board, EngineSight},
    mangowalk_core::{
        config::{EngineRecord, View},
        placement::tokens_of,
        refusal::Refusal,
        status::{Candidate, ExplainReply, ExplainRequest},
    },
};

/// Returns what the instance would do with a request now. Nothing is spent.
pub(super) fn explain(board: &Board, request: &ExplainRequest, now_ms: u64) -> ExplainReply {
    let view = board.config.view();
    let mut reply = ExplainReply {
        engine: None,
        refusal: None,
        steps: Vec::new(),
        candidates: Vec::new(),
    };
    if let Err(refusal) = admit(&mut reply.steps, board, &view, request, now_ms) {
        reply.refusal = Some(refusal.to_string());
        return reply;
    }
    let sights = board.engines.sights();
    let engines = view.engines.values().filter(|e| e.model == request.model);
    reply.candidates = engines.map(|e| candidate(e, sights.get(&e.name))).collect();
    reply.engine = reply
        .candidates
        .iter()
        .filter(|c| c.usable)
        .min_by_key(|c| sights.get(&c.engine).map_or(0, |s| s.in_flight))
        .map(|c| c.engine.clone());
    match &reply.engine {
        Some(engine) => reply.steps.push(format!(
            "Engine {engine} runs the fewest attempts of this instance."
        )),
        None => {
            let refusal = Refusal::Unavailable {
                reason: "No engine can take the request",
                retry_ms: 1_000,
            };
            reply.refusal = Some(refusal.to_string());
        }
    }
    reply
}

fn admit(
    steps: &mut Vec<String>,
    board: &Board,
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
    steps.push(format!(
        "Model {model} is offered at version {}.",
        offered.version
    ));
    let tokens = tokens_of(&request.prompt) + u64::from(request.max_tokens);
    let Some(rate) = view.rates.get(team) else {
        steps.push(format!("Team {team} has no rate, so nothing is let in."));
        return Err(Refusal::RateLimited { retry_ms: 60_000 });
    };
    if tokens > rate.burst_tokens {
        return Err(Refusal::OverBurst {
            reserve_tokens: tokens,
            burst_tokens: rate.burst_tokens,
        });
    }
    steps.push(format!(
        "The request reserves {tokens} tokens; team {team} has {} a second and a burst of {}.",
        rate.tokens_per_s, rate.burst_tokens
    ));
    steps.push(format!(
        "This instance holds {} shares of every rate, and asks peers for what it lacks.",
        board.limits.slots(now_ms)
    ));
    Ok(())
}

fn candidate(engine: &EngineRecord, sight: Option<&EngineSight>) -> Candidate {
    let state = sight.and_then(|s| s.state.as_ref());
    let (usable, reason) = match state {
        _ if engine.departing => (false, "It departs and gets no new work.".to_owned()),
        None => (false, "It does not answer.".to_owned()),
        Some(s) if s.loading => (false, "It loads weights.".to_owned()),
        Some(s) if s.model != engine.model => {
            (false, format!("It still serves model {}.", s.model))
        }
        Some(s) => {
            let in_flight = sight.map_or(0, |s| s.in_flight);
            let version = &s.version;
            (
                true,
                format!(
                    "It serves version {version} and runs {in_flight} attempts of this instance."
                ),
            )
        }
    };
    Candidate {
        engine: engine.name.clone(),
        usable,
        reason,
    }
}
