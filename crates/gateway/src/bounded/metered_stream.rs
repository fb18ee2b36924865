use {
    super::ReadMeter,
    std::{
        io,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// A connection to an engine, a peer or the store, whose received bytes are counted.
#[derive(Debug)]
pub struct MeteredStream {
    stream: TcpStream,
    meter: Arc<ReadMeter>,
}

impl MeteredStream {
    /// Returns a connection that is counted by a meter.
    pub fn new(stream: TcpStream, meter: Arc<ReadMeter>) -> MeteredStream {
        MeteredStream { stream, meter }
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

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
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
