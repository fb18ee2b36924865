use {
    super::{ReadMeter, send_queue::unacknowledged_bytes},
    socket2::SockRef,
    std::{
        io,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
        net::TcpStream,
        time::timeout,
    },
};

/// A connection to an engine, a peer or the store, whose received bytes are counted.
#[derive(Debug)]
pub struct MeteredStream {
    stream: TcpStream,
    meter: Arc<ReadMeter>,
    /// Whether the last write took less than it was given.
    is_write_blocked: bool,
    /// What was known when the other side ended what it sends.
    end: Option<ReadEnd>,
}

/// State of a connection when its other side has ended what it sends.
#[derive(Debug, Clone, Copy)]
struct ReadEnd {
    /// Whether the body of an answer was not taken to its end by then.
    is_in_message: bool,
    /// Whether the other side had received all that was to be sent.
    has_received_all: bool,
}

impl MeteredStream {
    /// Returns a connection that is counted by a meter.
    pub fn new(stream: TcpStream, meter: Arc<ReadMeter>) -> MeteredStream {
        MeteredStream {
            stream,
            meter,
            is_write_blocked: false,
            end: None,
        }
    }

    /// Returns whether the other side ended what it sends before an answer was taken to its
    /// end.
    pub(crate) fn has_ended_in_message(&self) -> bool {
        self.end.is_some_and(|end| end.is_in_message)
    }

    /// Returns whether the other side had not received the whole request when it ended its
    /// answer, or has reset the connection since.
    ///
    /// A reset that arrives behind the end isn't reported to a read, only as an error of the
    /// socket.
    pub fn was_cut(&self) -> bool {
        let has_received_all = self.end.is_none_or(|end| end.has_received_all);
        let error = SockRef::from(&self.stream).take_error();
        !has_received_all || !matches!(error, Ok(None))
    }

    /// Returns the same after up to `wait`, in which a reset may arrive.
    pub async fn was_cut_within(&self, wait: Duration) -> bool {
        if self.was_cut() {
            return true;
        }
        // The state afterwards counts, however the wait ends.
        let _ = timeout(wait, self.stream.ready(Interest::ERROR)).await;
        self.was_cut()
    }

    fn record_end(&mut self) {
        let has_received_all = !self.is_write_blocked && unacknowledged_bytes(&self.stream) == 0;
        self.end = Some(ReadEnd {
            is_in_message: !self.meter.is_body_taken(),
            has_received_all,
        });
    }

    /// Records how much of `length` bytes a write has taken.
    fn record_write(
        &mut self,
        polled: Poll<io::Result<usize>>,
        length: usize,
    ) -> Poll<io::Result<usize>> {
        self.is_write_blocked = !matches!(polled, Poll::Ready(Ok(written)) if written >= length);
        polled
    }
}

impl Drop for MeteredStream {
    /// The client's buffer ends with its connection, and the meter may be kept for longer.
    fn drop(&mut self) {
        self.meter.record_empty();
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let (before, has_room) = (buffer.filled().len(), buffer.remaining() > 0);
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if polled.is_pending() {
            self.meter.record_empty();
        }
        ready!(polled)?;
        let read = buffer.filled().len() - before;
        if read == 0 && has_room {
            self.record_end();
        }
        Poll::Ready(self.meter.record_read(read))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(polled, bytes.len())
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let length = parts.iter().map(|part| part.len()).sum();
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.record_write(polled, length)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
