use {
    super::{
        AnswerBody, StreamCut,
        answer::Pieces,
        attempt::{Answered, LOOK_MS},
        end::{done, good},
        judge::note,
        request::CallerRequest,
        tries::{Tries, run},
        work::OpenRequest,
    },
    crate::{clock::now_ms, upstreams::is_silent},
    bytes::Bytes,
    futures_util::stream::unfold,
    http::Response,
    http_body_util::BodyExt,
    mangowalk_core::{routing::RepeatPolicy, stream::EventSplitter},
    mangowalk_platform::answer_headers,
    std::{rc::Rc, time::Duration},
    tokio::time::timeout,
};

/// A stream on its way to the caller.
struct Passing {
    request: Rc<CallerRequest>,
    answered: Option<Answered>,
    tries: Tries,
    splitter: Option<EventSplitter>,
    has_begun: bool,
    /// When the last bytes came.
    heard_ms: u64,
    _open: OpenRequest,
}

/// Passes a stream on as it comes.
pub(super) fn stream(
    request: Rc<CallerRequest>,
    answered: Answered,
    tries: Tries,
    open: OpenRequest,
) -> Response<AnswerBody> {
    let headers = answer_headers(&answered.answer.parts.headers);
    let status = answered.answer.parts.status;
    let resumable = request.route.repeat == RepeatPolicy::ResumableStream;
    let last_id = request.head.last_event_id.clone();
    let passing = Passing {
        splitter: resumable.then(|| EventSplitter::resume_after(last_id)),
        request,
        answered: Some(answered),
        tries,
        has_begun: false,
        heard_ms: now_ms(),
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
            let left_ms = self.request.left_ms();
            let look = Duration::from_millis(left_ms.min(LOOK_MS));
            match timeout(look, answered.answer.body.frame()).await {
                Err(_) if left_ms <= LOOK_MS => {
                    note(&self.request, &answered.engine, "timed_out");
                    return Err(self.cut("timed_out"));
                }
                Err(_) if self.is_left_alone() => self.go_on("silent").await?,
                Err(_) => {}
                Ok(Some(Ok(frame))) => {
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    self.heard();
                    let whole = match &mut self.splitter {
                        Some(splitter) => Bytes::from(splitter.push(&bytes)),
                        None => bytes,
                    };
                    if !whole.is_empty() {
                        return Ok(Some(whole));
                    }
                }
                Ok(Some(Err(_))) => self.go_on("broken_off").await?,
                Ok(None)
                    if self
                        .splitter
                        .as_ref()
                        .is_some_and(EventSplitter::has_partial_event) =>
                {
                    self.go_on("half_event").await?;
                }
                Ok(None) => {
                    self.end();
                    return Ok(None);
                }
            }
        }
    }

    /// Returns whether the engine has fallen silent and the stream may go on
    /// elsewhere; one from which nothing comes is tried.
    ///
    /// An engine whose machine is gone resets no connection, and its callers
    /// would look at a stream that stands still until they leave. One that reads
    /// long prompts stands still too, so what counts is whether it takes a
    /// connection. A stream that may run only once stays where it is: nobody can
    /// finish it, and the engine may be heard again.
    fn is_left_alone(&self) -> bool {
        let (Some(answered), Some(_)) = (&self.answered, &self.splitter) else {
            return false;
        };
        let instance = &self.request.instance;
        let (now_ms, silent_ms) = (now_ms(), instance.settings.silent_ms);
        if now_ms < self.heard_ms + silent_ms {
            return false;
        }
        let unheard_since_ms = (now_ms + 1).saturating_sub(silent_ms);
        is_silent(
            instance,
            &self.request.pool,
            &answered.engine,
            unheard_since_ms,
            now_ms,
        )
    }

    fn heard(&mut self) {
        let Some(answered) = &mut self.answered else {
            return;
        };
        let now_ms = now_ms();
        self.heard_ms = now_ms;
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
            belief.record_received(now_ms);
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
        self.splitter = Some(EventSplitter::resume_after(last_id));
        self.answered = Some(*next);
        self.heard_ms = now_ms();
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
