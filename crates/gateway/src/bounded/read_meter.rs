use {
    super::{CutReason, Hold},
    std::{
        io,
        sync::atomic::{AtomicBool, AtomicUsize, Ordering},
    },
};

/// Maximum size of the buffer into which an answer is read, which bounds its head and what is
/// read ahead of a slow caller. Heads of engines have a few hundred bytes.
pub const MAX_READ_BUFFER_BYTES: usize = 32 * 1024;

/// Number of read buffers that may be read for a message before any of its body. It covers the
/// buffer and what has left it without being taken.
const MAX_OVERHEAD_BUFFERS: usize = 8;

/// Bytes that may be read for each byte of the body. A chunk with one byte has six.
const MAX_BYTES_PER_BODY_BYTE: usize = 16;

/// Counts the bytes of an answer or a request as they are read from a connection and as its body
/// is taken.
///
/// It bounds what the HTTP library skips without a bound of its own: answers with status 1xx,
/// and zeros and spaces in the size of a chunk.
#[derive(Debug)]
pub struct ReadMeter {
    read_bytes: AtomicUsize,
    body_bytes: AtomicUsize,
    /// Whether the body was taken to its end.
    is_body_taken: AtomicBool,
    buffered: Hold,
    max_overhead_bytes: usize,
}

impl ReadMeter {
    /// Returns a meter that counts what is buffered in `buffered`, for a connection with a read
    /// buffer of this size.
    pub fn new(buffered: Hold, buffer_bytes: usize) -> ReadMeter {
        ReadMeter {
            read_bytes: AtomicUsize::new(0),
            body_bytes: AtomicUsize::new(0),
            is_body_taken: AtomicBool::new(false),
            buffered,
            max_overhead_bytes: buffer_bytes.saturating_mul(MAX_OVERHEAD_BUFFERS),
        }
    }

    /// Records that a message begins, which is counted from zero.
    pub fn begin_message(&self) {
        self.read_bytes.store(0, Ordering::Relaxed);
        self.body_bytes.store(0, Ordering::Relaxed);
        self.is_body_taken.store(false, Ordering::Relaxed);
        self.buffered.set(0);
    }

    /// Records bytes that were read from the connection.
    ///
    /// # Errors
    ///
    /// Fails if they are more than a message with this much of a body may have.
    pub(super) fn record_read(&self, bytes: usize) -> io::Result<()> {
        let read = self.read_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        // The library reads again only once it has handed on what it has read.
        self.buffered.set(bytes);
        let body = self.body_bytes.load(Ordering::Relaxed);
        let max_for_body = body.saturating_mul(MAX_BYTES_PER_BODY_BYTE);
        let max = self.max_overhead_bytes.saturating_add(max_for_body);
        match read > max {
            true => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "a message goes on without a head or a body",
            )),
            false => Ok(()),
        }
    }

    /// Records bytes of the body that were taken.
    pub(super) fn record_taken(&self, bytes: usize) {
        self.body_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Records that the body was taken to its end.
    pub(super) fn record_body_end(&self) {
        self.is_body_taken.store(true, Ordering::Relaxed);
    }

    /// Returns whether the body of the last message was taken to its end.
    pub(super) fn is_body_taken(&self) -> bool {
        self.is_body_taken.load(Ordering::Relaxed)
    }

    /// Counts a message that was cut off at a bound.
    pub fn record_error(&self, error: &hyper::Error) {
        if let Some(reason) = CutReason::of(error) {
            self.record_cut(reason);
        }
    }

    /// Counts a message that was cut off for this reason.
    pub fn record_cut(&self, reason: CutReason) {
        self.buffered.held().record_cut(reason);
    }

    /// Records that all bytes that were read are handed on.
    pub(super) fn record_empty(&self) {
        self.buffered.set(0);
    }
}
