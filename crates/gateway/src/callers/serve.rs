use {
    super::{
        AnswerBody, Refusal, StreamCut,
        answer::Pieces,
        attempt::{Answered, Outcome, Try, attempt, note},
        events::EventSplitter,
        request::{CallerRequest, read},
        work::OpenRequest,
    },
    crate::{
        clock::now_ms,
        instance::{Drain, Instance},
        upstreams::Pool,
    },
    bytes::Bytes,
    futures_util::stream::unfold,
    http::{HeaderValue, Request, Response, header::CONNECTION},
    http_body_util::{BodyExt, Limited},
    hyper::body::Incoming,
    mangowalk_core::routing::Repeat,
    mangowalk_platform::answer_headers,
    std::{rc::Rc, time::Duration},
    tokio::time::timeout,
};

/// Longest answer that is held whole; longer ones end as lost.
const MOST_ANSWER_BYTES: usize = 2 * 1024 * 1024;

/// Tries with engines that refuse or can't be reached. They have not run the
/// request, so the route's own limit doesn't count them; after three the
/// caller is better off coming back.
const MOST_REFUSED: usize = 3;

/// Shortest and longest time after which a refused caller should come back.
/// Spread, so that those refused together don't return together.
const RETRY_LEAST_MS: u64 = 150;
const RETRY_SPREAD_MS: u64 = 350;

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
            log::warn!(
                "event=over_rate request={} team={} cost={cost} level={:?} rate={:?} wait_ms={wait_ms}",
                request.id(),
                tenant.name,
                instance.shares.borrow().level(&tenant.name).map(f64::round),
                tenant.rate.map(|rate| (rate.per_s, rate.burst)),
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
        .request(&instance.machine.retries, now_ms());
    let mut tries = Tries::default();
    match run(&request, &mut tries, None).await {
        Ok(answered) => answer(request, answered, tries, open).await,
        Err(refusal) => {
            if refusal == Refusal::NoEngine
                && let Some(tenant) = &request.tenant
            {
                instance.shares.borrow_mut().give_back(tenant, cost);
            }
            refuse(&request, refusal, tries.return_ms)
        }
    }
}

/// Engines that a request was sent to.
#[derive(Default)]
struct Tries {
    tried: Vec<String>,
    refused: usize,
    run: u32,
    /// When the caller should come back, where the engines are full.
    return_ms: Option<u64>,
}

/// Sends the request to engines until one answers.
async fn run(
    request: &CallerRequest,
    tries: &mut Tries,
    last_event_id: Option<&str>,
) -> Result<Box<Answered>, Refusal> {
    let mut may_have_run = tries.run > 0;
    let least_left_ms = request.instance.settings.least_left_ms;
    loop {
        let given_up = if may_have_run {
            Refusal::AnswerLost
        } else {
            Refusal::NoEngine
        };
        if request.left_ms() < least_left_ms {
            return Err(if may_have_run {
                Refusal::TimedOut
            } else {
                Refusal::NoEngine
            });
        }
        let first = tries.run == 0 && tries.refused == 0;
        if !first && !take_repeat(request) {
            return Err(given_up);
        }
        let this = Try {
            tried: &tries.tried,
            may_go_on: request.route.repeat == Repeat::ResumableStream
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
                    && request.route.repeat == Repeat::Idempotent
                    && tries.run < request.route.max_attempts;
                if !again {
                    return Ok(answered);
                }
                may_have_run = true;
                if request.left_ms() < least_left_ms || !can_repeat(request) {
                    return Ok(answered);
                }
            }
            Outcome::NotRun => {
                tries.refused += 1;
                if tries.refused >= MOST_REFUSED {
                    return Err(given_up);
                }
            }
            Outcome::Unknown => {
                tries.run += 1;
                may_have_run = true;
                let again =
                    request.route.repeat.may_run_again() && tries.run < request.route.max_attempts;
                if !again {
                    return Err(Refusal::AnswerLost);
                }
            }
            Outcome::TimedOut => return Err(Refusal::TimedOut),
            Outcome::NoEngine => return Err(given_up),
            Outcome::Full(return_ms) => {
                tries.return_ms = Some(return_ms);
                return Err(Refusal::NoEngine);
            }
        }
    }
}

fn can_repeat(request: &CallerRequest) -> bool {
    let engines = request.instance.engines.borrow();
    engines.takers(&request.need.service, now_ms()).count() > 1
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
        .repeat(&instance.machine.retries, instances, now_ms());
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
    let another = tries.run + 1 < request.route.max_attempts;
    let targets = if request.route.repeat.is_stream() {
        6
    } else {
        2
    };
    (request.route.repeat.may_run_again() && another).then(|| targets * request.route.target_ms)
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

/// Reads a plain answer whole before its first byte leaves, so that a broken
/// one can be replaced.
async fn whole(
    request: Rc<CallerRequest>,
    mut answered: Answered,
    mut tries: Tries,
    _open: OpenRequest,
) -> Response<AnswerBody> {
    loop {
        let parts = answered.answer.parts;
        let body = Limited::new(answered.answer.body, MOST_ANSWER_BYTES).collect();
        let left = Duration::from_millis(request.left_ms());
        match timeout(left, body).await {
            Ok(Ok(body)) => {
                let status = parts.status;
                if !status.is_server_error() {
                    good(&request, &answered.engine.incarnation.id);
                }
                answered.answer.connection.put_back(now_ms());
                done(&request, &answered.engine.incarnation.id, status.as_u16());
                let mut response = Response::new(AnswerBody::whole(body.to_bytes()));
                *response.status_mut() = status;
                *response.headers_mut() = answer_headers(&parts.headers);
                return response;
            }
            Ok(Err(_)) => note(&request, &answered.engine, "broken_answer"),
            Err(_) => {
                note(&request, &answered.engine, "timed_out");
                return refuse(&request, Refusal::TimedOut, None);
            }
        }
        let again = request.route.repeat.may_run_again() && tries.run < request.route.max_attempts;
        if !again {
            return refuse(&request, Refusal::AnswerLost, None);
        }
        match run(&request, &mut tries, None).await {
            Ok(next) => answered = *next,
            Err(refusal) => return refuse(&request, refusal, None),
        }
    }
}

/// A stream on its way to the caller.
struct Passing {
    request: Rc<CallerRequest>,
    answered: Option<Answered>,
    tries: Tries,
    splitter: Option<EventSplitter>,
    has_begun: bool,
    _open: OpenRequest,
}

fn stream(
    request: Rc<CallerRequest>,
    answered: Answered,
    tries: Tries,
    open: OpenRequest,
) -> Response<AnswerBody> {
    let headers = answer_headers(&answered.answer.parts.headers);
    let status = answered.answer.parts.status;
    let resumable = request.route.repeat == Repeat::ResumableStream;
    let last_id = request.head.last_event_id.clone();
    let passing = Passing {
        splitter: resumable.then(|| EventSplitter::behind(last_id)),
        request,
        answered: Some(answered),
        tries,
        has_begun: false,
        _open: open,
    };
    let pieces: Pieces = Box::pin(unfold(Some(passing), |passing| async move {
        let mut passing = passing?;
        match passing.next().await {
            Ok(Some(bytes)) => Some((Ok(bytes), Some(passing))),
            Ok(None) => None,
            Err(cut) => Some((Err(cut), None)),
        }
    }));
    let mut response = Response::new(AnswerBody::Stream(pieces));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

impl Passing {
    /// Returns the next bytes for the caller, or `None` at the end.
    async fn next(&mut self) -> Result<Option<Bytes>, StreamCut> {
        loop {
            let Some(answered) = &mut self.answered else {
                return Ok(None);
            };
            let left = Duration::from_millis(self.request.left_ms());
            match timeout(left, answered.answer.body.frame()).await {
                Err(_) => {
                    note(&self.request, &answered.engine, "timed_out");
                    return Err(self.cut("timed_out"));
                }
                Ok(Some(Ok(frame))) => {
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    self.heard();
                    let whole = match &mut self.splitter {
                        Some(splitter) => splitter.push(&bytes),
                        None => bytes,
                    };
                    if !whole.is_empty() {
                        return Ok(Some(whole));
                    }
                }
                Ok(Some(Err(_))) => self.go_on("broken_off").await?,
                Ok(None) if self.splitter.as_ref().is_some_and(EventSplitter::has_rest) => {
                    self.go_on("half_event").await?;
                }
                Ok(None) => {
                    self.end();
                    return Ok(None);
                }
            }
        }
    }

    fn heard(&mut self) {
        let Some(answered) = &mut self.answered else {
            return;
        };
        let now_ms = now_ms();
        if !self.has_begun {
            self.has_begun = true;
            answered.work.read(now_ms);
            let waited_ms = now_ms.saturating_sub(self.request.arrived_ms);
            self.request
                .instance
                .counters
                .observe("first_event", waited_ms);
        }
        let mut engines = self.request.instance.engines.borrow_mut();
        if let Some(belief) = engines.get_mut(&answered.engine.incarnation.id) {
            belief.heard(now_ms);
        }
    }

    fn end(&mut self) {
        if let Some(answered) = self.answered.take() {
            answered.answer.connection.put_back(now_ms());
            good(&self.request, &answered.engine.incarnation.id);
            done(&self.request, &answered.engine.incarnation.id, 200);
        }
    }

    /// Goes on with the stream at another engine, behind the last event that
    /// the caller has.
    async fn go_on(&mut self, reason: &'static str) -> Result<(), StreamCut> {
        let Some(answered) = self.answered.take() else {
            return Err(self.cut(reason));
        };
        note(&self.request, &answered.engine, reason);
        drop(answered);
        let may = self.tries.run < self.request.route.max_attempts;
        let Some(splitter) = self.splitter.as_ref().filter(|_| may) else {
            return Err(self.cut(reason));
        };
        let last_id = splitter.last_id().map(str::to_owned);
        let next = run(&self.request, &mut self.tries, last_id.as_deref()).await;
        let Ok(next) = next else {
            return Err(self.cut(reason));
        };
        if !next.answer.parts.status.is_success() {
            return Err(self.cut("not_resumed"));
        }
        self.request.instance.counters.count("resumed", reason);
        log::warn!(
            "event=resumed request={} engine={} behind={last_id:?} reason={reason}",
            self.request.id(),
            next.engine.incarnation.id,
        );
        self.splitter = Some(EventSplitter::behind(last_id));
        self.answered = Some(*next);
        Ok(())
    }

    fn cut(&self, reason: &'static str) -> StreamCut {
        self.request.instance.counters.count("stream_cut", reason);
        log::warn!(
            "event=stream_cut request={} reason={reason}",
            self.request.id()
        );
        StreamCut
    }
}

/// Notes an answer that came whole.
fn good(request: &CallerRequest, engine: &str) {
    let now_ms = now_ms();
    let mut engines = request.instance.engines.borrow_mut();
    if let Some(belief) = engines.get_mut(engine) {
        belief.heard(now_ms);
        let health = &request.instance.settings.choice.health;
        belief.health.answered(health, now_ms);
    }
}

fn done(request: &CallerRequest, engine: &str, status: u16) {
    let took_ms = now_ms().saturating_sub(request.arrived_ms);
    let mut crashes = request.instance.crashes.borrow_mut();
    if !crashes.is_empty() {
        crashes.completed(request.identity());
    }
    drop(crashes);
    request.instance.counters.observe("request", took_ms);
    request.instance.counters.count("answered", "engine");
    log::info!(
        "event=answered request={} engine={engine} status={status} took_ms={took_ms}",
        request.id(),
    );
}

fn refuse(request: &CallerRequest, refusal: Refusal, wait_ms: Option<u64>) -> Response<AnswerBody> {
    let promises = matches!(
        refusal,
        Refusal::NoEngine | Refusal::OverRate | Refusal::Poison
    );
    let spread_ms = rand::random_range(0..RETRY_SPREAD_MS);
    let retry_after_ms = promises.then(|| wait_ms.unwrap_or(RETRY_LEAST_MS) + spread_ms);
    request.instance.counters.count("refused", refusal.reason());
    log::warn!(
        "event=refused request={} reason={} route={} after_ms={} retry_after_ms={retry_after_ms:?} configuration={}",
        request.id(),
        refusal.reason(),
        request.route.name,
        now_ms().saturating_sub(request.arrived_ms),
        request.instance.routes.borrow().version(),
    );
    refusal.response(retry_after_ms)
}
