use {
    super::{
        classify::{classify_answer, classify_send_error, record_engine_failure},
        guards::LoadGuard,
        plan::{choose_engine, headers},
        request::CallerRequest,
    },
    crate::{
        clock::now_ms,
        upstreams::{Answer, SendError, is_silent, send},
    },
    http::Request,
    http_body_util::Full,
    mangowalk_core::pool::EngineEntry,
    std::{pin::pin, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Pause between two looks at an engine from which nothing comes.
pub(super) const SILENCE_CHECK_INTERVAL_MS: u64 = 100;

/// How one try with one engine ended.
pub(super) enum Outcome {
    /// The engine's own answer begins.
    Answer(Box<EngineAnswer>),
    /// The engine named did not run the request.
    NotRun(String),
    /// The engine named may have run it.
    Unknown(String),
    /// The time is over; the engine may have run it.
    TimedOut,
    /// There is no engine to send it to.
    NoEngine,
    /// It would wait too long; the caller should come back after so many
    /// milliseconds.
    Full(u64),
}

/// An answer, with the work that it stands for.
pub(super) struct EngineAnswer {
    pub(super) answer: Answer,
    pub(super) load_guard: LoadGuard,
    pub(super) engine: EngineEntry,
}

/// What one try depends on beside the request.
#[derive(Default)]
pub(super) struct AttemptContext<'a> {
    /// Engines that were tried before.
    pub(super) tried_engines: &'a [String],
    /// Whether a stream that was cut off goes on here.
    pub(super) is_resumed: bool,
    /// Event behind which a stream goes on.
    pub(super) last_event_id: Option<&'a str>,
    /// Whether the request can go on elsewhere if its run is cut off.
    pub(super) can_resume_elsewhere: bool,
    /// Whether nothing has run yet, so that the request may be refused.
    pub(super) may_be_refused: bool,
    /// Silence after which the try is given up, where it may run again.
    pub(super) give_up_ms: Option<u64>,
}

/// Chooses an engine, sends the request and waits for the head of the answer.
pub(super) async fn attempt(request: &CallerRequest, context: &AttemptContext<'_>) -> Outcome {
    let now = now_ms();
    let (engine, plan) = match choose_engine(request, context, now) {
        Ok(placed) => placed,
        Err(outcome) => return outcome,
    };
    let left_ms = request.left_ms();
    let Some(headers) = headers(request, context, &engine, &plan, left_ms) else {
        return Outcome::NotRun(engine.incarnation.id);
    };
    let load_guard = LoadGuard::begin(&request.instance, &engine.incarnation, plan.load);
    let build_message = || {
        let mut message = Request::new(Full::new(request.body.clone()));
        *message.method_mut() = request.method.clone();
        *message.uri_mut() = request.uri.clone();
        *message.headers_mut() = headers.clone();
        message
    };
    log::info!(
        "event=sent request={} engine={} left_ms={left_ms} cached={} version={} others={} own={}",
        request.id(),
        engine.incarnation.id,
        plan.is_cached,
        plan.version,
        plan.load_at_choice.others.requests,
        plan.load_at_choice.own.requests,
    );
    let sending = send(
        &request.pool,
        &engine,
        &request.instance.settings,
        build_message,
    );
    let old_weights_wait_ms = request
        .max_weights_wait_ms(plan.version, now)
        .unwrap_or(left_ms);
    let give_up_ms = context
        .give_up_ms
        .unwrap_or(left_ms)
        .min(old_weights_wait_ms);
    let waited = timeout(
        Duration::from_millis(give_up_ms.min(left_ms)),
        await_answer(request, &engine, context.give_up_ms.is_some(), sending),
    );
    match waited.await {
        Ok(Ok(answer)) => classify_answer(request, answer, load_guard, engine, &plan),
        Ok(Err(error)) => classify_send_error(request, &engine, &error),
        Err(_) if old_weights_wait_ms <= give_up_ms && old_weights_wait_ms < left_ms => {
            request.instance.counters.count("withdrawn", "old_weights");
            log::warn!(
                "event=withdrawn request={} engine={} reason=old_weights version={} waited_ms={old_weights_wait_ms}",
                request.id(),
                engine.incarnation.id,
                plan.version,
            );
            Outcome::Unknown(engine.incarnation.id)
        }
        Err(_) if give_up_ms < left_ms => {
            record_engine_failure(request, &engine, "silent");
            Outcome::Unknown(engine.incarnation.id)
        }
        Err(_) => {
            record_engine_failure(request, &engine, "timed_out");
            Outcome::TimedOut
        }
    }
}

/// Waits for an answer. Where nothing came from the engine meanwhile, it is
/// tried whether it still takes connections; a request that may run again
/// leaves one that doesn't.
async fn await_answer(
    request: &CallerRequest,
    engine: &EngineEntry,
    may_retry: bool,
    sending: impl Future<Output = Result<Answer, SendError>>,
) -> Result<Answer, SendError> {
    let mut sending = pin!(sending);
    let settings = &request.instance.settings;
    let sent_ms = now_ms();
    let mut pause_ms = settings.silent_ms;
    loop {
        tokio::select! {
            result = sending.as_mut() => return result,
            () = sleep(Duration::from_millis(pause_ms)) => {}
        }
        pause_ms = SILENCE_CHECK_INTERVAL_MS;
        let is_silent = is_silent(&request.instance, &request.pool, engine, sent_ms, now_ms());
        if is_silent && may_retry {
            return Err(SendError::Lost {
                reason: "the engine is silent".to_owned(),
            });
        }
    }
}
