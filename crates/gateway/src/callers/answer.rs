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

/// A stream that can't be brought to its end. The connection to the caller is
/// closed without the end mark, so the answer can't look whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("The stream was cut off; the caller's connection is closed.")]
pub struct StreamCut;

/// Parts of a streamed answer as they come.
pub(super) type ByteStream = Pin<Box<dyn Stream<Item = Result<Bytes, StreamCut>>>>;

/// Body of an answer to a caller.
pub enum AnswerBody {
    /// Known whole.
    Buffered(Full<Bytes>),
    /// Passed on as it comes.
    Stream(ByteStream),
}

impl AnswerBody {
    /// Returns a body that is known whole.
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
