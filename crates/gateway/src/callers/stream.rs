use {
    super::{
        AnswerBody, StreamCut,
        answer::ByteStream,
        attempt::{AnswerSource, EngineAnswer, SILENCE_CHECK_INTERVAL_MS},
        completion::{record_answered_request, record_complete_answer},
        forwarded_headers::forwarded_headers,
        guards::OpenRequestGuard,
        request::{CallerRequest, Origin},
        retry::{AttemptHistory, ResumePoint, send_with_retries},
    },
    crate::{
        bounded::{HeldKind, Hold},
        clock::now_ms,
        mesh::tell_origin,
        rollouts::record_result,
        upstreams::check_silent,
    },
    bytes::Bytes,
    futures_util::stream::unfold,
    http::Response,
    http_body_util::BodyExt,
    mangowalk_core::{
        canary::Sample,
        origin::EngineBuild,
        pool::EngineEntry,
        routing::RetryPolicy,
        stream::{EventScanner, EventSplitter, Excess, StreamEnd},
    },
    mangowalk_platform::AnswerHead,
    std::{rc::Rc, time::Duration},
    tokio::{task::yield_now, time::timeout},
};

/// Forwards a streamed answer to the caller and resumes it at another engine if
/// it is cut off.
struct StreamForwarder {
    request: Rc<CallerRequest>,
    /// The answer being forwarded. `None` once it has ended or was cut off.
    answered: Option<EngineAnswer>,
    attempts: AttemptHistory,
    events: ForwardedEvents,
    /// Why the answer counts as endless.
    excess: Option<Excess>,
    /// Since when the rest of an unfinished event has been awaited.
    unfinished_since_ms: Option<u64>,
    /// The incomplete event.
    partial_event: Hold,
    begun_at: BegunAt,
    is_origin_recorded: bool,
    /// Whether any bytes have arrived.
    has_begun: bool,
    /// When the last bytes arrived.
    last_received_ms: u64,
    /// Arrivals of the engine that sends now, by which its software is compared.
    pace: Pace,
    _open_request: OpenRequestGuard,
}

/// Where the events that the caller has were written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BegunAt {
    /// The caller has no event, so any software version may write the stream.
    Nowhere,
    /// At engines of this build.
    Build(EngineBuild),
    /// At engines of a software version that isn't known.
    Unknown,
}

/// The events of a stream, as far as they have arrived.
enum ForwardedEvents {
    /// Forwarded in complete events, as the stream may be resumed behind each.
    Resumable(EventSplitter),
    /// Forwarded as they arrive.
    AsReceived(EventScanner),
    /// The body doesn't consist of events.
    Opaque,
}

impl ForwardedEvents {
    fn of(request: &CallerRequest, head: &AnswerHead) -> ForwardedEvents {
        if request.route.retry == RetryPolicy::ResumableStream {
            let last_id = request.head.last_event_id.clone();
            return ForwardedEvents::Resumable(EventSplitter::resume_after(last_id));
        }
        match head.is_event_stream {
            true => ForwardedEvents::AsReceived(EventScanner::default()),
            false => ForwardedEvents::Opaque,
        }
    }

    /// Adds received bytes and returns those to forward.
    fn push(&mut self, bytes: Bytes) -> Bytes {
        match self {
            ForwardedEvents::Resumable(splitter) => Bytes::from(splitter.push(&bytes)),
            ForwardedEvents::AsReceived(scanner) => {
                scanner.scan(&bytes);
                bytes
            }
            ForwardedEvents::Opaque => bytes,
        }
    }

    /// Returns the scanner of a body that consists of events.
    fn scanner(&self) -> Option<&EventScanner> {
        match self {
            ForwardedEvents::Resumable(splitter) => Some(splitter.scanner()),
            ForwardedEvents::AsReceived(scanner) => Some(scanner),
            ForwardedEvents::Opaque => None,
        }
    }

    /// Returns the splitter of a stream that may be resumed.
    fn splitter(&self) -> Option<&EventSplitter> {
        match self {
            ForwardedEvents::Resumable(splitter) => Some(splitter),
            _ => None,
        }
    }

    /// Returns what an end now says of the stream.
    fn end(&self, ends_with_connection: bool, is_resumed: bool) -> StreamEnd {
        match self.scanner() {
            Some(scanner) => StreamEnd::of(scanner, ends_with_connection, is_resumed),
            None if ends_with_connection => StreamEnd::Unconfirmed,
            None => StreamEnd::Complete,
        }
    }
}

/// Arrivals of the events of a stream.
#[derive(Debug, Clone, Copy, Default)]
struct Pace {
    first_ms: Option<u64>,
    last_ms: u64,
    arrivals: u32,
    longest_gap_ms: u64,
}

impl Pace {
    fn record(&mut self, now_ms: u64) {
        if self.first_ms.is_none() {
            self.first_ms = Some(now_ms);
            self.last_ms = now_ms;
        }
        let gap_ms = now_ms.saturating_sub(self.last_ms);
        self.longest_gap_ms = self.longest_gap_ms.max(gap_ms);
        self.last_ms = now_ms;
        self.arrivals += 1;
    }

    /// Returns the mean time between two arrivals; `None` if there was only one.
    fn mean_gap_ms(&self) -> Option<f64> {
        let took_ms = self.last_ms.saturating_sub(self.first_ms?) as f64;
        (self.arrivals > 1).then(|| took_ms / f64::from(self.arrivals - 1))
    }
}

/// Returns a response whose body is forwarded as it arrives from the engine.
pub(super) fn forward_stream(
    request: Rc<CallerRequest>,
    answered: EngineAnswer,
    attempts: AttemptHistory,
    open_request: OpenRequestGuard,
) -> Response<AnswerBody> {
    let headers = forwarded_headers(&request, &answered);
    let status = answered.answer.parts.status;
    let forwarder = StreamForwarder {
        events: ForwardedEvents::of(&request, &answered.answer.head),
        excess: None,
        unfinished_since_ms: None,
        partial_event: request.instance.held.hold(HeldKind::Events),
        begun_at: request.build.map_or(BegunAt::Nowhere, BegunAt::Build),
        request,
        answered: Some(answered),
        attempts,
        is_origin_recorded: false,
        has_begun: false,
        last_received_ms: now_ms(),
        pace: Pace::default(),
        _open_request: open_request,
    };
    let byte_stream: ByteStream = Box::pin(unfold(Some(forwarder), |forwarder| async move {
        let mut forwarder = forwarder?;
        match forwarder.next().await {
            Ok(Some(bytes)) => Some((Ok(bytes), Some(forwarder))),
            Ok(None) => None,
            Err(cut) => {
                // Lets what was received before be written.
                yield_now().await;
                Some((Err(cut), None))
            }
        }
    }));
    let mut response = Response::new(AnswerBody::Stream(byte_stream));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

impl StreamForwarder {
    /// Returns the next bytes for the caller, or `None` at the end. A stream that
    /// can be resumed is returned in complete events.
    ///
    /// # Errors
    ///
    /// Fails if the stream was cut off and can't be resumed, or the deadline
    /// passed.
    async fn next(&mut self) -> Result<Option<Bytes>, StreamCut> {
        // The time that the caller took to accept the last bytes isn't the engine's.
        self.unfinished_since_ms = self.unfinished_since_ms.map(|_| now_ms());
        loop {
            let Some(answered) = &mut self.answered else {
                return Ok(None);
            };
            let left_ms = self.request.left_ms();
            // An engine that always has more bytes lets no timeout pass.
            if left_ms == 0 {
                answered.record_failure(&self.request, "timed_out");
                return Err(self.record_cut("timed_out"));
            }
            if let Some(excess) = self.excess.take() {
                self.request
                    .instance
                    .counters
                    .count("answer_cut", excess.reason());
                self.resume(excess.reason()).await?;
                continue;
            }
            let check_interval = Duration::from_millis(left_ms.min(SILENCE_CHECK_INTERVAL_MS));
            match timeout(check_interval, answered.answer.body.frame()).await {
                Err(_) if left_ms <= SILENCE_CHECK_INTERVAL_MS => {
                    answered.record_failure(&self.request, "timed_out");
                    return Err(self.record_cut("timed_out"));
                }
                Err(_) if self.is_stalled() => self.resume("silent").await?,
                Err(_) => {}
                Ok(Some(Ok(frame))) => {
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    self.record_received();
                    let forwarded = self.events.push(bytes);
                    self.check_bounds(!forwarded.is_empty());
                    if !forwarded.is_empty() {
                        self.record_origin();
                        return Ok(Some(forwarded));
                    }
                }
                Ok(Some(Err(_))) => self.resume("broken_off").await?,
                Ok(None) => {
                    let Some(reason) = self.break_reason().await else {
                        self.finish();
                        return Ok(None);
                    };
                    self.resume(reason).await?;
                }
            }
        }
    }

    /// Returns why the stream, whose answer has ended, was broken off, or `None` if it is
    /// complete.
    async fn break_reason(&mut self) -> Option<&'static str> {
        let is_resumed = self.is_resumed();
        let answered = self.answered.as_mut()?;
        let ends_with_connection = answered.answer.ends_with_connection;
        match self.events.end(ends_with_connection, is_resumed) {
            StreamEnd::Complete => None,
            StreamEnd::InsideEvent => Some("half_event"),
            StreamEnd::NoEvent => Some("no_event"),
            StreamEnd::Unconfirmed => answered.unconfirmed_end_reason(&self.request).await,
        }
    }

    /// Checks the bounds on bytes that are no event. What was received up to them is forwarded
    /// first, as the stream is resumed behind it.
    fn check_bounds(&mut self, has_boundary: bool) {
        let now_ms = now_ms();
        if let Some(splitter) = self.events.splitter() {
            self.partial_event.set(splitter.partial_bytes());
            let is_in_event = splitter.scanner().is_in_event();
            let since_ms = self.unfinished_since_ms.filter(|_| !has_boundary);
            self.unfinished_since_ms = is_in_event.then(|| since_ms.unwrap_or(now_ms));
        }
        let bounds = &self.request.instance.settings.event_bounds;
        self.excess = match &self.events {
            ForwardedEvents::Resumable(splitter) => {
                splitter.excess(bounds, self.unfinished_since_ms, now_ms)
            }
            ForwardedEvents::AsReceived(scanner) => bounds.excess(scanner, None, now_ms),
            ForwardedEvents::Opaque => None,
        };
    }

    /// Returns whether the engine was asked to go on behind events that the caller has.
    fn is_resumed(&self) -> bool {
        let splitter = self.events.splitter();
        let behind = splitter.and_then(EventSplitter::last_id);
        behind.is_some() || self.request.head.last_event_id.is_some()
    }

    /// Returns whether the engine is silent and the stream can be resumed
    /// elsewhere. Probes an engine that has sent nothing for the time
    /// `probe_after_ms` of the settings.
    ///
    /// An engine whose machine is gone doesn't reset its connections, so its
    /// callers would wait on a stalled stream until they disconnect. An engine
    /// that prefills long prompts sends nothing either, so the probe checks
    /// whether it accepts a connection. A stream that has begun stays for a while:
    /// sound engines are silent at times. One that can't be resumed stays at its
    /// engine: no other engine can finish it, and the engine may send again.
    fn is_stalled(&self) -> bool {
        let engine = self.answered.as_ref().and_then(EngineAnswer::engine);
        let (Some(engine), Some(_)) = (engine, self.events.splitter()) else {
            return false;
        };
        let instance = &self.request.instance;
        let (now_ms, silent_ms) = (now_ms(), instance.settings.probe_after_ms);
        if now_ms < self.last_received_ms + silent_ms {
            return false;
        }
        let silent_since_ms = (now_ms + 1).saturating_sub(silent_ms);
        let is_silent = check_silent(
            instance,
            &self.request.pool,
            engine,
            silent_since_ms,
            now_ms,
        );
        let has_waited = now_ms >= self.last_received_ms + instance.settings.stall_after_ms;
        is_silent && (has_waited || !self.has_begun)
    }

    /// Records that bytes arrived from the engine. The first ones end the
    /// prefill of the prompt.
    fn record_received(&mut self) {
        let Some(answered) = &mut self.answered else {
            return;
        };
        let now_ms = now_ms();
        self.last_received_ms = now_ms;
        self.pace.record(now_ms);
        answered.body_began_ms.get_or_insert(now_ms);
        if !self.has_begun {
            self.has_begun = true;
            if let AnswerSource::Engine { load_guard, .. } = &mut answered.source {
                load_guard.record_prefill(now_ms);
            }
            let waited_ms = now_ms.saturating_sub(self.request.arrived_ms);
            self.request
                .instance
                .counters
                .observe("first_event", waited_ms);
        }
        let mut engines = self.request.instance.engines.borrow_mut();
        if let Some(known_engine) = engines.get_mut(answered.responder()) {
            known_engine.record_received(now_ms);
        }
    }

    /// Records where the stream began, before the caller gets its first event: it may take
    /// the stream up at any instance from then on, also if this one is killed.
    fn record_origin(&mut self) {
        if self.is_origin_recorded || self.events.splitter().is_none() {
            return;
        }
        self.is_origin_recorded = true;
        let instance = &self.request.instance;
        if self.begun_at == BegunAt::Nowhere {
            let answered = self.answered.as_ref();
            let build = answered.and_then(|answered| answered.build(instance));
            self.begun_at = build.map_or(BegunAt::Unknown, BegunAt::Build);
        }
        let BegunAt::Build(build) = self.begun_at else {
            instance.counters.count("stream_origin", "unknown");
            return;
        };
        // The instance that passed the request on records where its stream began.
        if self.request.origin == Origin::Caller {
            for key in self.request.stream_keys() {
                tell_origin(instance, key, build, now_ms());
            }
        }
    }

    /// Records the end of a complete stream and returns its connection to the
    /// pool.
    fn finish(&mut self) {
        let Some(answered) = self.answered.take() else {
            return;
        };
        if let Some(engine) = answered.engine() {
            let sample = Sample::Answered {
                took_ms: self.pace.mean_gap_ms(),
            };
            record_result(&self.request.instance, engine, &self.request.route, sample);
            record_complete_answer(&self.request, &engine.incarnation.id);
            self.record_pauses(engine);
        }
        record_answered_request(&self.request, &answered);
        answered.answer.connection.return_to_pool(now_ms());
    }

    /// Counts and logs a stream whose events came with a longer pause than the route
    /// allows, with what the engine had to do at its end.
    fn record_pauses(&self, engine: &EngineEntry) {
        let instance = &self.request.instance;
        let gap_ms = self.pace.longest_gap_ms;
        instance.counters.observe("longest_gap", gap_ms);
        if gap_ms <= self.request.route.target_gap_ms {
            return;
        }
        let engines = instance.engines.borrow();
        let Some(known_engine) = engines.get(&engine.incarnation.id) else {
            return;
        };
        instance.counters.count("stream_paused", "engine");
        let load = known_engine.load();
        log::info!(
            "event=paused request={} engine={} longest_gap_ms={gap_ms} events={} \
             engine_requests={} engine_prefill_tokens={} engine_changes_weights={}",
            self.request.id(),
            engine.incarnation.id,
            self.pace.arrivals,
            load.requests,
            load.prefill_tokens,
            known_engine.is_paused(now_ms()),
        );
    }

    /// Resumes the stream at another engine, after the last event that the
    /// caller has. `reason` says why it was cut off.
    ///
    /// # Errors
    ///
    /// Fails if the stream can't be resumed or no engine resumes it.
    async fn resume(&mut self, reason: &'static str) -> Result<(), StreamCut> {
        let Some(answered) = self.answered.take() else {
            return Err(self.record_cut(reason));
        };
        answered.record_failure(&self.request, reason);
        drop(answered);
        let may_retry = self.attempts.possible_run_count < self.request.max_attempts();
        let Some(splitter) = self.events.splitter().filter(|_| may_retry) else {
            return Err(self.record_cut(reason));
        };
        let build = match self.begun_at {
            BegunAt::Nowhere => None,
            BegunAt::Build(build) => Some(build),
            BegunAt::Unknown => return Err(self.record_cut("unknown_origin")),
        };
        let last_id = splitter.last_id().map(str::to_owned);
        let resume_point = ResumePoint {
            last_event_id: last_id.as_deref(),
            build,
        };
        let next = send_with_retries(&self.request, &mut self.attempts, resume_point).await;
        let Ok(next) = next else {
            return Err(self.record_cut(reason));
        };
        if !next.answer.parts.status.is_success() {
            return Err(self.record_cut("not_resumed"));
        }
        self.request.instance.counters.count("resumed", reason);
        log::warn!(
            "event=resumed request={} engine={} software={} behind={last_id:?} reason={reason}",
            self.request.id(),
            next.responder(),
            next.engine()
                .map_or("unknown", |engine| engine.software.as_str()),
        );
        self.events = ForwardedEvents::Resumable(EventSplitter::resume_after(last_id));
        self.unfinished_since_ms = None;
        self.partial_event.set(0);
        self.answered = Some(*next);
        self.last_received_ms = now_ms();
        self.pace = Pace::default();
        Ok(())
    }

    /// Counts and logs a stream that is cut off, and returns the error for the
    /// body.
    fn record_cut(&self, reason: &'static str) -> StreamCut {
        self.request.progress.end();
        self.request.instance.counters.count("stream_cut", reason);
        log::warn!(
            "event=stream_cut request={} reason={reason}",
            self.request.id()
        );
        StreamCut
    }
}
