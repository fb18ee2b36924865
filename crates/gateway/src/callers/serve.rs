use {
    super::{
        AnswerBody, Refusal,
        attempt::Answered,
        end::refuse,
        passing::stream,
        request::{CallerRequest, read},
        tries::{Tries, run},
        whole::whole,
        work::OpenRequest,
    },
    crate::{
        clock::now_ms,
        instance::{Drain, Instance},
        upstreams::Pool,
    },
    http::{HeaderValue, Request, Response, header::CONNECTION},
    hyper::body::Incoming,
    std::rc::Rc,
};

/// Time after which the caller of a request that crashes engines may come
/// back: by then operators may have mended the engines.
const POISON_RETRY_MS: u64 = 60_000;

/// Answers a caller's request.
pub(super) async fn serve(
    instance: Rc<Instance>,
    pool: Rc<Pool>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let open = OpenRequest::new(&instance);
    let (parts, body) = request.into_parts();
    let mut response = match read(instance.clone(), pool, parts, body).await {
        Ok(request) => admitted(Rc::new(request), open).await,
        Err((refusal, retry_after_ms)) => {
            instance.counters.count("refused", refusal.reason());
            log::info!("event=refused reason={}", refusal.reason());
            refusal.response(retry_after_ms)
        }
    };
    if *instance.drain.borrow() != Drain::Serving {
        // The caller asks for addresses again, and this one is not among them.
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn admitted(request: Rc<CallerRequest>, open: OpenRequest) -> Response<AnswerBody> {
    let instance = &request.instance;
    let cost = request.cost();
    if let Some(tenant) = &request.tenant {
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
    let service = request.need.service.clone();
    instance
        .budgets
        .borrow_mut()
        .entry(service)
        .or_default()
        .record_request(&instance.machine().retries, now_ms());
    let mut tries = Tries::default();
    match run(&request, &mut tries, None).await {
        Ok(answered) => answer(request, answered, tries, open).await,
        Err(refusal) => {
            if refusal == Refusal::NoEngine
                && let Some(tenant) = &request.tenant
            {
                instance.shares.borrow_mut().refund(tenant, cost);
            }
            refuse(&request, refusal, tries.return_ms)
        }
    }
}

async fn answer(
    request: Rc<CallerRequest>,
    answered: Box<Answered>,
    tries: Tries,
    open: OpenRequest,
) -> Response<AnswerBody> {
    if request.route.repeat.is_stream() && answered.answer.parts.status.is_success() {
        return stream(request, *answered, tries, open);
    }
    whole(request, *answered, tries, open).await
}
