use {
    super::{CallerWrites, ReadMeter},
    futures_util::FutureExt,
    std::{
        io,
        pin::Pin,
        rc::Rc,
        sync::Arc,
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
        net::TcpStream,
        time::{Instant, Sleep, sleep},
    },
};

/// Interval at which the end of a connection is looked for behind bytes that nobody reads yet.
const HIDDEN_END_INTERVAL: Duration = Duration::from_millis(100);

/// Times after which a connection is closed whose caller takes no byte.
#[derive(Debug, Clone, Copy)]
pub struct StallLimits {
    /// While an engine waits until the rest of its stream is taken.
    pub stream: Duration,
    /// While the answer is complete.
    pub answer: Duration,
}

/// A connection to a caller, which ends if the caller doesn't read, leaves before its answer, or
/// sends bytes that are neither a head nor a body.
pub struct CallerStream {
    stream: TcpStream,
    meter: Arc<ReadMeter>,
    writes: Rc<CallerWrites>,
    limits: StallLimits,
    /// Set while the caller takes no byte.
    stall: Option<Stall>,
    /// Set while bytes behind an open request may hide the end of the connection.
    next_end_check: Option<Pin<Box<Sleep>>>,
}

/// A time in which the caller takes no byte.
struct Stall {
    began: Instant,
    timer: Pin<Box<Sleep>>,
}

impl CallerStream {
    /// Returns a connection whose received bytes are counted by `meter`, and unsent ones in
    /// `writes`.
    pub fn new(
        stream: TcpStream,
        meter: Arc<ReadMeter>,
        writes: Rc<CallerWrites>,
        limits: StallLimits,
    ) -> CallerStream {
        CallerStream {
            stream,
            meter,
            writes,
            limits,
            stall: None,
            next_end_check: None,
        }
    }

    /// Returns the connection itself.
    pub fn into_inner(self) -> TcpStream {
        self.stream
    }

    /// Looks for the end of the connection while a request is worked on.
    ///
    /// The HTTP library does so only as long as it holds no bytes behind the request. With a
    /// line end or the next request there, an engine would work on for a caller that has left.
    ///
    /// # Errors
    ///
    /// Fails if the caller has closed its end or reset the connection.
    fn check_end(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        // Bytes that wait before that belong to the body, and the library reads on itself.
        if !self.writes.is_request_open() || !self.meter.is_body_taken() {
            self.next_end_check = None;
            return Ok(());
        }
        let mut byte = [0];
        let Poll::Ready(peeked) = self.stream.poll_peek(context, &mut ReadBuf::new(&mut byte))
        else {
            return Ok(());
        };
        if peeked? == 0 || self.is_end_received() {
            return Err(io::Error::new(
                io::ErrorKind::ConnectionAborted,
                "the caller has left",
            ));
        }
        // No event tells of an end behind bytes that wait already.
        loop {
            let timer = self
                .next_end_check
                .get_or_insert_with(|| Box::pin(sleep(HIDDEN_END_INTERVAL)));
            if timer.as_mut().poll(context).is_pending() {
                return Ok(());
            }
            self.next_end_check = None;
        }
    }

    /// Returns whether the caller has ended its side, whatever waits to be read before the end.
    fn is_end_received(&self) -> bool {
        let ready = self.stream.ready(Interest::READABLE).now_or_never();
        ready.is_some_and(|ready| ready.is_ok_and(|ready| ready.is_read_closed()))
    }

    /// Records the result of a write. A write that has waited for too long fails.
    fn after_write(
        &mut self,
        written: Poll<io::Result<usize>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(result) = written {
            self.stall = None;
            self.writes
                .unsent
                .remove(result.as_ref().map_or(0, |bytes| *bytes));
            return Poll::Ready(result);
        }
        self.check_end(context)?;
        let limit = match self.writes.is_stream_open() {
            true => self.limits.stream,
            false => self.limits.answer,
        };
        let stall = self.stall.get_or_insert_with(|| Stall {
            began: Instant::now(),
            timer: Box::pin(sleep(limit)),
        });
        // The answer may have become complete since the timer was set.
        let end = stall.began + limit;
        if stall.timer.deadline() < end {
            stall.timer.as_mut().reset(end);
        }
        ready!(stall.timer.as_mut().poll(context));
        self.writes.record_too_slow();
        Poll::Ready(Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "the caller doesn't read",
        )))
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if polled.is_pending() {
            self.meter.record_empty();
        }
        ready!(polled)?;
        let read = buffer.filled().len() - before;
        Poll::Ready(self.meter.record_read(read))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.after_write(written, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.after_write(written, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// Is called once all queued bytes are written.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.writes.unsent.set(0);
        self.check_end(context)?;
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
