use {
    super::{
        Refusal,
        attempt::{AttemptContext, EngineAnswer, Outcome, RetryCharge, attempt},
        plan::lack_of_engines,
        progress::Stage,
        request::CallerRequest,
        waiting::{
            WaitRefusal, WaitingPlace, is_want_of_room, may_wait, must_let_others_go_first,
            wait_for_turn,
        },
    },
    crate::{clock::now_ms, mesh::take_retry, rollouts::record_result},
    mangowalk_core::{
        canary::Sample, origin::EngineBuild, pool::EngineEntry, routing::RetryPolicy,
    },
};

/// Maximum number of attempts with engines that reject the request or can't be
/// reached. They have not run it, so the route's `max_attempts` doesn't count
/// them. After that many the caller does better to retry later.
const MAX_NOT_RUN_ATTEMPTS: usize = 3;

/// The attempts made so far for one request.
#[derive(Default)]
pub(super) struct AttemptHistory {
    /// IDs of the engines and names of the peers that were tried.
    tried_engines: Vec<String>,
    /// Number of attempts that did not run the request.
    not_run_count: usize,
    /// Whether the request may have reached an engine, which may have rejected it.
    may_have_arrived: bool,
    /// Number of attempts that may have run the request.
    pub(super) possible_run_count: u32,
    /// Time after which the caller should retry. `None` unless the engines are
    /// full.
    pub(super) retry_after_ms: Option<u64>,
}

/// Longest time after which a caller is told to come back while engines rest. Others may join
/// before.
const MAX_REST_RETRY_MS: u64 = 60_000;

impl AttemptHistory {
    /// Returns the refusal for a request that no engine takes, and sets when its caller should
    /// retry. `refusal` applies if the request may have run, or for want of another reason.
    fn refuse(&mut self, lack: Outcome, refusal: Refusal) -> Refusal {
        match (lack, refusal) {
            (Outcome::QueueTooLong(retry_after_ms), _) => {
                self.retry_after_ms = Some(retry_after_ms);
                Refusal::NoEngine
            }
            (Outcome::EnginesRest(rest_ms), Refusal::NoEngine) => {
                self.retry_after_ms = Some(rest_ms.min(MAX_REST_RETRY_MS));
                Refusal::EnginesRest
            }
            _ => refusal,
        }
    }

    /// Sets when the caller of a request that waited should retry, and returns the refusal.
    fn refuse_waiting(&mut self, ended: WaitRefusal) -> Refusal {
        self.retry_after_ms = ended.retry_after_ms;
        ended.refusal
    }
}

/// Where a stream that an instance moves to another engine goes on.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ResumePoint<'a> {
    /// ID of the last event that was passed on to the caller.
    pub(super) last_event_id: Option<&'a str>,
    /// Build of the engines that wrote its events.
    pub(super) build: Option<EngineBuild>,
}

/// Sends the request to engines, one after another, until one answers. Adds each
/// attempt to `attempts`.
///
/// # Errors
///
/// Returns the refusal for the caller if no engine answers within the deadline,
/// the attempts of the route and the retry budget of the service.
pub(super) async fn send_with_retries(
    request: &CallerRequest,
    attempts: &mut AttemptHistory,
    resume_point: ResumePoint<'_>,
) -> Result<Box<EngineAnswer>, Refusal> {
    let mut server_errors = Vec::new();
    let mut place = None;
    let tried = try_engines(
        request,
        attempts,
        resume_point,
        &mut server_errors,
        &mut place,
    );
    let result = tried.await;
    if let Some(place) = place {
        place.record_refused();
    }
    record_server_errors(request, &server_errors, &result);
    result
}

/// Records the engines that answered with an error, for the comparison of software
/// versions. An error that two engines give says more of the request than of the
/// engines.
fn record_server_errors(
    request: &CallerRequest,
    server_errors: &[EngineEntry],
    result: &Result<Box<EngineAnswer>, Refusal>,
) {
    let is_success = result
        .as_ref()
        .is_ok_and(|answered| !answered.answer.parts.status.is_server_error());
    if server_errors.len() > 1 && !is_success {
        return;
    }
    for engine in server_errors {
        record_result(&request.instance, engine, &request.route, Sample::Failed);
    }
}

async fn try_engines(
    request: &CallerRequest,
    attempts: &mut AttemptHistory,
    resume_point: ResumePoint<'_>,
    server_errors: &mut Vec<EngineEntry>,
    place: &mut Option<WaitingPlace>,
) -> Result<Box<EngineAnswer>, Refusal> {
    let mut may_have_run = attempts.possible_run_count > 0;
    // A server error of an engine, returned if no other engine answers.
    let mut failed_answer = None;
    let min_remaining_ms = request.instance.settings.min_remaining_ms;
    // Whether the attempt for which a retry was taken has found no engine yet.
    let mut holds_retry = false;
    loop {
        request.progress.enter(Stage::Deciding);
        let refusal = if may_have_run {
            Refusal::AnswerLost
        } else {
            Refusal::NoEngine
        };
        if request.left_ms() < min_remaining_ms {
            return failed_answer.ok_or(if may_have_run {
                Refusal::TimedOut
            } else {
                Refusal::NoEngine
            });
        }
        if may_have_run && resume_point.last_event_id.is_none() {
            request.await_part_decision().await;
        }
        if request.is_withdrawn() {
            return Err(match may_have_run {
                true => Refusal::AnswerLost,
                false => Refusal::PoisonPart,
            });
        }
        let is_first_attempt = attempts.possible_run_count == 0 && attempts.not_run_count == 0;
        // A rejected arrival counts as well; a connection that was refused doesn't.
        let charge = match attempts.may_have_arrived {
            true => RetryCharge::Retry,
            false => RetryCharge::None,
        };
        let service = &request.requirements.service;
        let needs_retry = charge == RetryCharge::Retry && !holds_retry;
        if needs_retry && !take_retry(&request.instance, service).await {
            return failed_answer.ok_or(refusal);
        }
        let build = resume_point.build.or(request.build);
        // A caller that takes a stream up has waited for it once already.
        let may_be_refused = attempts.possible_run_count == 0 && request.build.is_none();
        let may_wait = may_wait(request, may_be_refused);
        if may_wait && place.is_none() && must_let_others_go_first(request) {
            request.instance.waiting.wake(now_ms());
            let turn = wait_for_turn(request, place).await;
            turn.map_err(|ended| attempts.refuse_waiting(ended))?;
        }
        let context = AttemptContext {
            tried_engines: &attempts.tried_engines,
            can_resume_elsewhere: request.route.retry == RetryPolicy::ResumableStream
                && attempts.possible_run_count + 1 < request.max_attempts(),
            is_first: is_first_attempt,
            charge,
            may_be_refused,
            is_resumed: resume_point.last_event_id.is_some() || request.build.is_some(),
            last_event_id: resume_point
                .last_event_id
                .or(request.head.last_event_id.as_deref()),
            build,
            give_up_ms: give_up_ms(request, attempts),
            place: place.as_ref(),
        };
        let outcome = attempt(request, &context).await;
        if may_wait && is_want_of_room(&outcome) {
            holds_retry = charge == RetryCharge::Retry;
            let turn = wait_for_turn(request, place).await;
            turn.map_err(|ended| attempts.refuse_waiting(ended))?;
            continue;
        }
        holds_retry = false;
        if !matches!(outcome, Outcome::NoEngine | Outcome::EnginesRest(_))
            && let Some(place) = place.take()
        {
            // It was sent, to a peer if not to an engine.
            place.record_placed();
        }
        attempts.may_have_arrived |= outcome.may_have_arrived();
        match outcome {
            Outcome::Answer(answered) => {
                let progress = &request.progress;
                progress.enter_at(Stage::Answering, answered.responder());
                attempts.possible_run_count += 1;
                attempts.tried_engines.push(answered.responder().to_owned());
                let failed = answered.answer.parts.status.is_server_error();
                if failed {
                    server_errors.extend(answered.engine().cloned());
                }
                let may_retry = failed
                    && request.route.retry == RetryPolicy::Idempotent
                    && attempts.possible_run_count < request.max_attempts();
                if !may_retry {
                    return Ok(answered);
                }
                may_have_run = true;
                if request.left_ms() < min_remaining_ms || !has_other_engine(request) {
                    return Ok(answered);
                }
                failed_answer = Some(answered);
            }
            Outcome::NotSent(name) | Outcome::NotRun(name) => {
                attempts.not_run_count += 1;
                attempts.tried_engines.push(name);
                if attempts.not_run_count >= MAX_NOT_RUN_ATTEMPTS {
                    let lack = current_lack_of_engines(request, build);
                    return failed_answer.ok_or_else(|| attempts.refuse(lack, refusal));
                }
            }
            Outcome::MayHaveRun(engine) => {
                attempts.possible_run_count += 1;
                attempts.tried_engines.push(engine);
                may_have_run = true;
                if !request.may_run_again(attempts.possible_run_count) {
                    return failed_answer.ok_or(Refusal::AnswerLost);
                }
            }
            Outcome::PeerRefused {
                peer,
                retry_after_ms,
            } => {
                attempts.not_run_count += 1;
                attempts.tried_engines.push(peer);
                attempts.retry_after_ms = retry_after_ms.or(attempts.retry_after_ms);
                if attempts.not_run_count >= MAX_NOT_RUN_ATTEMPTS {
                    return failed_answer.ok_or(refusal);
                }
            }
            Outcome::TimedOut => return failed_answer.ok_or(Refusal::TimedOut),
            lack @ (Outcome::NoEngine | Outcome::EnginesRest(_) | Outcome::QueueTooLong(_)) => {
                return failed_answer.ok_or_else(|| attempts.refuse(lack, refusal));
            }
        }
    }
}

/// Returns why no engine takes the request now, if none does.
fn current_lack_of_engines(request: &CallerRequest, build: Option<EngineBuild>) -> Outcome {
    let engines = request.instance.engines.borrow();
    lack_of_engines(request, build, &engines, now_ms())
}

/// Returns whether more than one engine of the service accepts requests.
fn has_other_engine(request: &CallerRequest) -> bool {
    let engines = request.instance.engines.borrow();
    engines
        .accepting_engines(&request.requirements.service, now_ms())
        .count()
        > 1
}

/// Returns the time without an answer after which an attempt is abandoned for
/// another engine, or `None` if the request may not run again.
///
/// A plain answer takes a few milliseconds, so twice the route's target is
/// enough. A stream may wait in the queue of a busy engine; abandoning it would
/// lose its place there and prefill its prompt twice.
fn give_up_ms(request: &CallerRequest, attempts: &AttemptHistory) -> Option<u64> {
    let target_multiple = if request.route.retry.is_stream() {
        6
    } else {
        2
    };
    request
        .may_run_again(attempts.possible_run_count + 1)
        .then(|| target_multiple * request.route.target_ms)
}
