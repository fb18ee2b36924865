use {
    bytes::Bytes,
    derive_more::{Display, Error},
    futures_util::Stream,
    http_body::{Body, Frame, SizeHint},
    http_body_util::Full,
    std::{
        pin::Pin,
        task::{Context, Poll},
    },
};

/// A stream that reached the request's deadline, or was cut off and can't be
/// resumed. The connection to the caller is closed without the end marker, so the
/// answer can't look complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("The stream was cut off; the caller's connection is closed.")]
pub struct StreamCut;

/// Chunks of a streamed answer in the order of their arrival.
pub(super) type ByteStream = Pin<Box<dyn Stream<Item = Result<Bytes, StreamCut>>>>;

/// ID of the request to which a response belongs, kept with it for log lines.
#[derive(Debug, Clone)]
pub(super) struct AnsweredId(pub(super) String);

/// Body of an answer to a caller.
pub enum AnswerBody {
    /// A body that is in memory in full.
    Buffered(Full<Bytes>),
    /// A body that is forwarded as it arrives.
    Stream(ByteStream),
}

impl AnswerBody {
    /// Returns whether the body is forwarded as it arrives.
    pub(super) fn is_stream(&self) -> bool {
        matches!(self, AnswerBody::Stream(_))
    }

    /// Returns a body that is in memory in full.
    pub fn buffered(bytes: impl Into<Bytes>) -> AnswerBody {
        AnswerBody::Buffered(Full::new(bytes.into()))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = StreamCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamCut>>> {
        match &mut *self {
            AnswerBody::Buffered(body) => Pin::new(body)
                .poll_frame(context)
                .map_err(|never| match never {}),
            AnswerBody::Stream(byte_stream) => byte_stream
                .as_mut()
                .poll_next(context)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Buffered(body) => body.is_end_stream(),
            AnswerBody::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Buffered(body) => body.size_hint(),
            AnswerBody::Stream(_) => SizeHint::default(),
        }
    }
}
