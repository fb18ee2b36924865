use {
    super::{
        Refusal,
        attempt::{Answered, Outcome, Try, attempt},
        request::CallerRequest,
    },
    crate::clock::now_ms,
    mangowalk_core::routing::RepeatPolicy,
};

/// Tries with engines that refuse or can't be reached. They have not run the
/// request, so the route's own limit doesn't count them; after three the
/// caller is better off coming back.
const MOST_REFUSED: usize = 3;

/// Engines that a request was sent to.
#[derive(Default)]
pub(super) struct Tries {
    tried: Vec<String>,
    refused: usize,
    /// Engines that may have run it.
    pub(super) run: u32,
    /// When the caller should come back, where the engines are full.
    pub(super) return_ms: Option<u64>,
}

/// Sends the request to engines until one answers.
pub(super) async fn run(
    request: &CallerRequest,
    tries: &mut Tries,
    last_event_id: Option<&str>,
) -> Result<Box<Answered>, Refusal> {
    let mut may_have_run = tries.run > 0;
    // An engine's own failure, delivered if no other engine does better.
    let mut failure = None;
    let least_left_ms = request.instance.settings.least_left_ms;
    loop {
        let given_up = if may_have_run {
            Refusal::AnswerLost
        } else {
            Refusal::NoEngine
        };
        if request.left_ms() < least_left_ms {
            return failure.ok_or(if may_have_run {
                Refusal::TimedOut
            } else {
                Refusal::NoEngine
            });
        }
        let first = tries.run == 0 && tries.refused == 0;
        if !first && !take_repeat(request) {
            return failure.ok_or(given_up);
        }
        let this = Try {
            tried: &tries.tried,
            may_go_on: request.route.repeat == RepeatPolicy::ResumableStream
                && tries.run + 1 < request.route.max_attempts,
            may_be_refused: tries.run == 0,
            is_resumed: last_event_id.is_some(),
            last_event_id: last_event_id.or(request.head.last_event_id.as_deref()),
            give_up_ms: give_up_ms(request, tries),
        };
        match attempt(request, &this).await {
            Outcome::Answer(answered) => {
                tries.run += 1;
                tries.tried.push(answered.engine.incarnation.id.clone());
                let failed = answered.answer.parts.status.is_server_error();
                let again = failed
                    && request.route.repeat == RepeatPolicy::Idempotent
                    && tries.run < request.route.max_attempts;
                if !again {
                    return Ok(answered);
                }
                may_have_run = true;
                if request.left_ms() < least_left_ms || !can_repeat(request) {
                    return Ok(answered);
                }
                failure = Some(answered);
            }
            Outcome::NotRun(engine) => {
                tries.refused += 1;
                tries.tried.push(engine);
                if tries.refused >= MOST_REFUSED {
                    return failure.ok_or(given_up);
                }
            }
            Outcome::Unknown(engine) => {
                tries.run += 1;
                tries.tried.push(engine);
                may_have_run = true;
                if !request.may_run_again(tries.run) {
                    return failure.ok_or(Refusal::AnswerLost);
                }
            }
            Outcome::TimedOut => return failure.ok_or(Refusal::TimedOut),
            Outcome::NoEngine => return failure.ok_or(given_up),
            Outcome::Full(return_ms) => {
                tries.return_ms = Some(return_ms);
                return failure.ok_or(Refusal::NoEngine);
            }
        }
    }
}

fn can_repeat(request: &CallerRequest) -> bool {
    let engines = request.instance.engines.borrow();
    engines
        .accepting_engines(&request.need.service, now_ms())
        .count()
        > 1
}

/// Takes one repeat of the service's budget.
fn take_repeat(request: &CallerRequest) -> bool {
    let instance = &request.instance;
    let instances = instance.instances();
    let granted = instance
        .budgets
        .borrow_mut()
        .entry(request.need.service.clone())
        .or_default()
        .try_repeat(&instance.machine().retries, instances, now_ms());
    let outcome = if granted { "granted" } else { "exhausted" };
    instance.counters.count("repeats", outcome);
    granted
}

/// Returns the silence after which a try is given up for another engine.
///
/// A plain answer takes a few milliseconds, so twice the time in which it is on
/// time tells enough. A stream may wait its turn on a busy engine; leaving
/// that would lose its place and read its prompt twice.
fn give_up_ms(request: &CallerRequest, tries: &Tries) -> Option<u64> {
    let targets = if request.route.repeat.is_stream() {
        6
    } else {
        2
    };
    request
        .may_run_again(tries.run + 1)
        .then(|| targets * request.route.target_ms)
}
