use {
    super::{
        AnswerBody, Refusal,
        attempt::EngineAnswer,
        buffered::forward_buffered,
        completion::refuse,
        guards::OpenRequestGuard,
        request::{CallerRequest, Origin, read_request},
        retry::{AttemptHistory, ResumePoint, send_with_retries},
        stream::forward_stream,
        taken_up::bind_taken_up,
    },
    crate::{
        clock::now_ms,
        instance::{Drain, Instance},
        upstreams::ConnectionPool,
    },
    http::{HeaderValue, Request, Response, header::CONNECTION},
    hyper::body::Incoming,
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
    request: Request<Incoming>,
    origin: Origin,
) -> Response<AnswerBody> {
    let open_request = OpenRequestGuard::new(&instance);
    let (parts, body) = request.into_parts();
    let mut response = match read_request(instance.clone(), pool, parts, body, origin).await {
        Ok(request) => handle_request(request, open_request).await,
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

/// Charges the team's rate, unless a peer has done so, sends the request to engines and
/// forwards the answer. Refunds the rate if no engine could take the request.
async fn handle_request(
    mut request: CallerRequest,
    open_request: OpenRequestGuard,
) -> Response<AnswerBody> {
    let instance = request.instance.clone();
    if request.takes_up_stream() {
        instance.counters.count("taken_up", "received");
        log::info!(
            "event=taken_up request={} resumes={:?} behind={:?} origin={:?}",
            request.id(),
            request.head.resumes,
            request.head.last_event_id,
            request.origin,
        );
    }
    let cost = request.cost();
    let charged = request.tenant.clone();
    let charged = charged.filter(|_| request.origin == Origin::Caller);
    if let Some(tenant) = &charged {
        let taken = instance.shares.borrow_mut().take(tenant, cost, now_ms());
        if let Err(wait_ms) = taken {
            let rate = tenant.rate.unwrap_or_default();
            let level = instance.shares.borrow().level(&tenant.name);
            log::warn!(
                "event=over_rate request={} team={} cost_tokens={cost} level_tokens={:.0} rate_tokens_per_s={} burst_tokens={} wait_ms={wait_ms}",
                request.id(),
                tenant.name,
                level.unwrap_or_default(),
                rate.per_s,
                rate.burst,
            );
            return refuse(&request, Refusal::OverRate, Some(wait_ms));
        }
    }
    if request.is_poison() {
        return refuse(&request, Refusal::Poison, Some(POISON_RETRY_MS));
    }
    let refund = || {
        if let Some(tenant) = &charged {
            instance.shares.borrow_mut().refund(tenant, cost);
        }
    };
    if let Err(refusal) = bind_taken_up(&mut request).await {
        refund();
        return refuse(&request, refusal, None);
    }
    if !request.has_no_path() {
        let service = request.requirements.service.clone();
        let mut budgets = instance.retry_budgets.borrow_mut();
        let budget = budgets.entry(service).or_default();
        budget.record_request(&instance.machine().retries, now_ms());
    }
    let mut attempts = AttemptHistory::default();
    let first = ResumePoint::default();
    match send_with_retries(&request, &mut attempts, first).await {
        Ok(answered) => forward_answer(Rc::new(request), answered, attempts, open_request).await,
        Err(refusal) => {
            if refusal == Refusal::NoEngine {
                refund();
            }
            refuse(&request, refusal, attempts.retry_after_ms)
        }
    }
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
