use {
    super::{
        AnswerBody, Refusal,
        answer::AnsweredId,
        attempt::EngineAnswer,
        buffered::forward_buffered,
        completion::refuse,
        guards::OpenRequestGuard,
        progress::Progress,
        rate_charge::RateCharge,
        request::{CallerRequest, Origin, STOPPING_RETRY_MS, read_request},
        retry::{AttemptHistory, ResumePoint, send_with_retries},
        stream::forward_stream,
        taken_up::bind_taken_up,
    },
    crate::{
        bounded::MeteredBody,
        clock::now_ms,
        instance::{Drain, Instance},
        upstreams::ConnectionPool,
    },
    http::{HeaderValue, Request, Response, header::CONNECTION},
    std::rc::Rc,
};

/// Time after which the caller of a request that crashes engines may retry.
/// It leaves operators time to repair the engines.
const POISON_RETRY_MS: u64 = 60_000;

/// Handles a caller's request and returns the response, which is a refusal if
/// no engine answers.
pub(super) async fn serve(
    instance: Rc<Instance>,
    pool: Rc<ConnectionPool>,
    request: Request<MeteredBody>,
    origin: Origin,
) -> Response<AnswerBody> {
    let open_request = OpenRequestGuard::new(&instance);
    let (parts, body) = request.into_parts();
    let mut response = match read_request(instance.clone(), pool, parts, body, origin).await {
        Ok(request) => {
            let id = AnsweredId(request.id().to_owned());
            let mut response = handle_until_exit(request, open_request).await;
            response.extensions_mut().insert(id);
            response
        }
        Err((refusal, retry_after_ms)) => {
            instance.counters.count("refused", refusal.reason());
            log::info!("event=refused reason={}", refusal.reason());
            refusal.response(retry_after_ms)
        }
    };
    if *instance.drain.borrow() != Drain::Serving {
        // Makes the caller resolve addresses again; this instance is no longer
        // among them.
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Handles a request until this instance exits. One that is open then is refused, so that its
/// caller learns at once whether it may have run.
async fn handle_until_exit(
    request: CallerRequest,
    open_request: OpenRequestGuard,
) -> Response<AnswerBody> {
    let progress = request.progress.clone();
    let instance = request.instance.clone();
    let mut drain = instance.drain.clone();
    tokio::select! {
        response = handle_request(request, open_request) => response,
        () = Drain::wait_for_stopped(&mut drain) => refuse_at_exit(&instance, &progress),
    }
}

fn refuse_at_exit(instance: &Instance, progress: &Progress) -> Response<AnswerBody> {
    progress.end();
    let (refusal, retry_after_ms) = match progress.may_have_arrived() {
        true => (Refusal::AnswerLost, None),
        false => (Refusal::Stopping, Some(STOPPING_RETRY_MS)),
    };
    instance.counters.count("refused", refusal.reason());
    log::warn!("event=cut_at_exit {progress} reason={}", refusal.reason());
    refusal.response(retry_after_ms)
}

/// Charges the team's rate, sends the request to engines and forwards the answer. Refunds
/// the rate if no engine could take the request.
async fn handle_request(
    mut request: CallerRequest,
    open_request: OpenRequestGuard,
) -> Response<AnswerBody> {
    if request.takes_up_stream() {
        record_taken_up(&request);
    }
    if request.holds_rejected_part() {
        return refuse(&request, Refusal::PoisonPart, Some(POISON_RETRY_MS));
    }
    let charge = match RateCharge::take(&request) {
        Ok(charge) => charge,
        Err(wait_ms) => return refuse(&request, Refusal::OverRate, Some(wait_ms)),
    };
    if request.is_poison() {
        return refuse(&request, Refusal::Poison, Some(POISON_RETRY_MS));
    }
    if let Err(refusal) = bind_taken_up(&mut request).await {
        charge.refund();
        return refuse(&request, refusal, None);
    }
    // The instance that passed it on has counted it.
    if request.origin == Origin::Caller {
        let service = &request.requirements.service;
        request.instance.record_request(service, now_ms());
    }
    let mut attempts = AttemptHistory::default();
    let first = ResumePoint::default();
    match send_with_retries(&request, &mut attempts, first).await {
        Ok(answered) => forward_answer(Rc::new(request), answered, attempts, open_request).await,
        Err(refusal) => {
            if refusal.refunds_rate() {
                charge.refund();
            }
            refuse(&request, refusal, attempts.retry_after_ms)
        }
    }
}

/// Counts and logs that a caller takes up a stream.
fn record_taken_up(request: &CallerRequest) {
    request.instance.counters.count("taken_up", "received");
    log::info!(
        "event=taken_up request={} resumes={:?} behind={:?} origin={:?}",
        request.id(),
        request.head.resumes,
        request.head.last_event_id,
        request.origin,
    );
}

/// Forwards a successful answer of a streaming route as it arrives, and any
/// other answer once it is complete.
async fn forward_answer(
    request: Rc<CallerRequest>,
    answered: Box<EngineAnswer>,
    attempts: AttemptHistory,
    open_request: OpenRequestGuard,
) -> Response<AnswerBody> {
    if request.route.retry.is_stream() && answered.answer.parts.status.is_success() {
        return forward_stream(request, *answered, attempts, open_request);
    }
    forward_buffered(request, *answered, attempts, open_request).await
}
