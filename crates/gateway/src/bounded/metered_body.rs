use {
    super::ReadMeter,
    bytes::Bytes,
    http_body::{Body, Frame, SizeHint},
    hyper::body::Incoming,
    std::{
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
    },
};

/// Body of an answer or a request, whose taken bytes are counted.
#[derive(Debug)]
pub struct MeteredBody {
    body: Incoming,
    meter: Arc<ReadMeter>,
}

impl MeteredBody {
    /// Returns a body whose connection is counted by the same meter.
    pub fn new(body: Incoming, meter: Arc<ReadMeter>) -> MeteredBody {
        MeteredBody { body, meter }
    }
}

impl Body for MeteredBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        match &polled {
            Poll::Ready(Some(Ok(frame))) => {
                let bytes = frame.data_ref().map_or(0, Bytes::len);
                self.meter.record_taken(bytes);
            }
            Poll::Ready(Some(Err(error))) => {
                self.meter.record_error(error);
                self.meter.record_empty();
            }
            Poll::Ready(None) => {
                self.meter.record_empty();
                self.meter.record_body_end();
            }
            Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
