use {
    super::{
        judge::{failed, judge, note},
        plan::{headers, place},
        request::CallerRequest,
        work::Work,
    },
    crate::{
        clock::now_ms,
        upstreams::{Answer, SendError, check_silent, send},
    },
    http::Request,
    http_body_util::Full,
    mangowalk_core::pool::EngineEntry,
    std::{pin::pin, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Pause between two looks at an engine from which nothing comes.
pub(super) const LOOK_MS: u64 = 100;

/// How one try with one engine ended.
pub(super) enum Outcome {
    /// The engine's own answer begins.
    Answer(Box<Answered>),
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
pub(super) struct Answered {
    pub(super) answer: Answer,
    pub(super) work: Work,
    pub(super) engine: EngineEntry,
}

/// What one try depends on beside the request.
#[derive(Default)]
pub(super) struct Try<'a> {
    /// Engines that were tried before.
    pub(super) tried: &'a [String],
    /// Whether a stream that was cut off goes on here.
    pub(super) is_resumed: bool,
    /// Event behind which a stream goes on.
    pub(super) last_event_id: Option<&'a str>,
    /// Whether the request can go on elsewhere if its run is cut off.
    pub(super) may_go_on: bool,
    /// Whether nothing has run yet, so that the request may be refused.
    pub(super) may_be_refused: bool,
    /// Silence after which the try is given up, where it may run again.
    pub(super) give_up_ms: Option<u64>,
}

/// Chooses an engine, sends the request and waits for the head of the answer.
pub(super) async fn attempt(request: &CallerRequest, this: &Try<'_>) -> Outcome {
    let now = now_ms();
    let (engine, plan) = match place(request, this, now) {
        Ok(placed) => placed,
        Err(outcome) => return outcome,
    };
    let left_ms = request.left_ms();
    let Some(headers) = headers(request, this, &engine, &plan, left_ms) else {
        return Outcome::NotRun(engine.incarnation.id);
    };
    let work = Work::begin(&request.instance, &engine.incarnation, plan.load);
    let make = || {
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
        plan.is_kept,
        plan.version,
        plan.seen.others.requests,
        plan.seen.own.requests,
    );
    let sending = send(&request.pool, &engine, &request.instance.settings, make);
    let old_ms = request.may_wait_ms(plan.version, now).unwrap_or(left_ms);
    let give_up_ms = this.give_up_ms.unwrap_or(left_ms).min(old_ms);
    let waited = timeout(
        Duration::from_millis(give_up_ms.min(left_ms)),
        watched(request, &engine, this.give_up_ms.is_some(), sending),
    );
    match waited.await {
        Ok(Ok(answer)) => judge(request, answer, work, engine, &plan),
        Ok(Err(error)) => failed(request, &engine, &error),
        Err(_) if old_ms <= give_up_ms && old_ms < left_ms => {
            request.instance.counters.count("withdrawn", "old_weights");
            log::warn!(
                "event=withdrawn request={} engine={} reason=old_weights version={} waited_ms={old_ms}",
                request.id(),
                engine.incarnation.id,
                plan.version,
            );
            Outcome::Unknown(engine.incarnation.id)
        }
        Err(_) if give_up_ms < left_ms => {
            note(request, &engine, "silent");
            Outcome::Unknown(engine.incarnation.id)
        }
        Err(_) => {
            note(request, &engine, "timed_out");
            Outcome::TimedOut
        }
    }
}

/// Waits for an answer. Where nothing came from the engine meanwhile, it is
/// tried whether it still takes connections; a request that may run again
/// leaves one that doesn't.
async fn watched(
    request: &CallerRequest,
    engine: &EngineEntry,
    may_leave: bool,
    sending: impl Future<Output = Result<Answer, SendError>>,
) -> Result<Answer, SendError> {
    let mut sending = pin!(sending);
    let settings = &request.instance.settings;
    let sent_ms = now_ms();
    let mut pause_ms = settings.probe_after_ms;
    loop {
        tokio::select! {
            result = sending.as_mut() => return result,
            () = sleep(Duration::from_millis(pause_ms)) => {}
        }
        pause_ms = LOOK_MS;
        let is_silent = check_silent(&request.instance, &request.pool, engine, sent_ms, now_ms());
        if is_silent && may_leave {
            return Err(SendError::Lost {
                reason: "the engine is silent".to_owned(),
            });
        }
    }
}
