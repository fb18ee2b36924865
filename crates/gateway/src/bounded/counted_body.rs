use {
    super::CallerWrites,
    bytes::Bytes,
    http_body::{Body, Frame, SizeHint},
    std::{
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, ready},
    },
};

/// Body of an answer to a caller, whose bytes are counted until they are written.
pub struct CountedBody<B> {
    body: B,
    writes: Rc<CallerWrites>,
}

impl<B> CountedBody<B> {
    /// Returns a body whose bytes are counted in `writes`.
    pub fn new(body: B, writes: Rc<CallerWrites>) -> CountedBody<B> {
        CountedBody { body, writes }
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for CountedBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let polled = ready!(Pin::new(&mut self.body).poll_frame(context));
        match &polled {
            Some(Ok(frame)) => {
                let bytes = frame.data_ref().map_or(0, Bytes::len);
                self.writes.record_queued(bytes);
            }
            Some(Err(_)) | None => self.writes.end_answer(),
        }
        Poll::Ready(polled)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
