use {
    super::{
        caller_watch::CallerWatch, error::ErrorBody, reply::ResponseHeaders,
        response_format::ResponseFormat, sse::SseWriter,
    },
    crate::serve::{AnswerSink, FinishedAnswer},
    log::info,
    mangowalk_core::refusal::Refusal,
    std::io,
    tiny_http::Request,
};

/// Interval of the comments that keep a stream open while its engine sends nothing.
const KEEPALIVE_INTERVAL_MS: u64 = 1_000;

/// Streams an answer to a caller.
///
/// The head of the response is written with the first token. Until then, a
/// refusal is sent with its own status.
pub(super) struct StreamSink {
    request: Option<Request>,
    writer: Option<SseWriter>,
    watch: CallerWatch,
    /// When the last comment was written.
    comment_ms: u64,
    head: ResponseHeaders,
    response_format: ResponseFormat,
}

impl StreamSink {
    pub(super) fn new(
        request: Request,
        watch: CallerWatch,
        head: ResponseHeaders,
        response_format: ResponseFormat,
    ) -> StreamSink {
        StreamSink {
            request: Some(request),
            writer: None,
            watch,
            comment_ms: 0,
            head,
            response_format,
        }
    }

    /// Returns the writer. The first call writes the head of the response.
    fn writer(&mut self) -> io::Result<&mut SseWriter> {
        if let Some(request) = self.request.take() {
            let mut writer = SseWriter::start(request, &self.head)?;
            if let Some(first) = self.response_format.opening() {
                writer.event(&first)?;
            }
            self.writer = Some(writer);
        }
        self.writer
            .as_mut()
            .ok_or_else(|| io::Error::from(io::ErrorKind::BrokenPipe))
    }

    /// Writes the end of a complete answer.
    pub(super) fn finish(&mut self, finished: &FinishedAnswer) {
        if let Err(error) = self.write_end(finished) {
            info!(
                "callers: The end of the answer to {} could not be written. {error}.",
                self.response_format.id
            );
        }
    }

    fn write_end(&mut self, finished: &FinishedAnswer) -> io::Result<()> {
        let closing = self.response_format.closing(finished);
        let writer = self.writer()?;
        for event in closing {
            writer.event(&event)?;
        }
        writer.done()
    }

    /// Refuses the request, with the refusal's status if no token was written.
    ///
    /// After a token, only an error event can be sent. Neither `[DONE]` nor a
    /// finish reason follows it, so that a partial answer never looks complete.
    pub(super) fn refuse(mut self, refusal: &Refusal) {
        if let Some(request) = self.request.take() {
            return self.head.refuse(request, refusal);
        }
        if let Some(mut writer) = self.writer.take() {
            let _ = writer.event(&ErrorBody::of(refusal));
            writer.end();
        }
    }
}

impl AnswerSink for StreamSink {
    fn token(&mut self, text: &str) -> io::Result<()> {
        let event = self.response_format.delta(text);
        self.writer()?.event(&event)
    }

    fn check_caller(&mut self) -> io::Result<()> {
        self.watch.check()
    }

    fn silence(&mut self, now_ms: u64) -> io::Result<()> {
        self.check_caller()?;
        let Some(writer) = &mut self.writer else {
            return Ok(());
        };
        if now_ms < self.comment_ms + KEEPALIVE_INTERVAL_MS {
            return Ok(());
        }
        self.comment_ms = now_ms;
        writer.comment()
    }
}
