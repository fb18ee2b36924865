use {
    super::{CutReason, Hold},
    std::{
        io,
        sync::atomic::{AtomicUsize, Ordering},
    },
};

/// Maximum size of the buffer into which an answer is read, which bounds its head and what is
/// read ahead of a slow caller. Heads of engines have a few hundred bytes.
pub const MAX_READ_BUFFER_BYTES: usize = 32 * 1024;

/// Bytes that may be read for an answer before any of its body. It covers the buffer and what
/// has left it without being taken.
const MAX_OVERHEAD_BYTES: usize = 8 * MAX_READ_BUFFER_BYTES;

/// Bytes that may be read for each byte of the body. A chunk with one byte has six.
const MAX_BYTES_PER_BODY_BYTE: usize = 16;

/// Counts the bytes of an answer as they are read from a connection and as its body is taken.
///
/// It bounds what the HTTP client skips without a bound of its own: answers with status 1xx,
/// and zeros and spaces in the size of a chunk.
#[derive(Debug)]
pub struct ReadMeter {
    read_bytes: AtomicUsize,
    body_bytes: AtomicUsize,
    buffered: Hold,
}

impl ReadMeter {
    /// Returns a meter that counts what is buffered in `buffered`.
    pub fn new(buffered: Hold) -> ReadMeter {
        ReadMeter {
            read_bytes: AtomicUsize::new(0),
            body_bytes: AtomicUsize::new(0),
            buffered,
        }
    }

    /// Records that a request is sent, whose answer is counted from zero.
    pub fn begin_answer(&self) {
        self.read_bytes.store(0, Ordering::Relaxed);
        self.body_bytes.store(0, Ordering::Relaxed);
        self.buffered.set(0);
    }

    /// Records bytes that were read from the connection.
    ///
    /// # Errors
    ///
    /// Fails if they are more than an answer with this much of a body may have.
    pub(super) fn record_read(&self, bytes: usize) -> io::Result<()> {
        let read = self.read_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        self.buffered.add(bytes);
        let body = self.body_bytes.load(Ordering::Relaxed);
        let max = MAX_OVERHEAD_BYTES.saturating_add(body.saturating_mul(MAX_BYTES_PER_BODY_BYTE));
        match read > max {
            true => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the answer goes on without a head or a body",
            )),
            false => Ok(()),
        }
    }

    /// Records bytes of the body that were taken.
    pub(super) fn record_taken(&self, bytes: usize) {
        self.body_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.buffered.remove(bytes);
    }

    /// Counts an answer that was cut off at a bound.
    pub fn record_error(&self, error: &hyper::Error) {
        if let Some(reason) = CutReason::of(error) {
            self.buffered.held().record_cut(reason);
        }
    }

    /// Records that all bytes of the body that were read are taken.
    pub(super) fn record_empty(&self) {
        self.buffered.set(0);
    }
}
