use {
    super::Hold,
    std::cell::{Cell, RefCell},
};

/// What one connection to a caller has yet to write.
#[derive(Debug)]
pub struct CallerWrites {
    pub(super) unsent: Hold,
    /// Whether a request is worked on, whose answer isn't there in full.
    is_request_open: Cell<bool>,
    /// Whether an engine waits until the rest of its stream is taken.
    is_stream_open: Cell<bool>,
    is_too_slow: Cell<bool>,
    /// ID of the request that is answered.
    request_id: RefCell<String>,
}

impl CallerWrites {
    /// Returns the writes of a new connection, which are counted in `unsent`.
    pub fn new(unsent: Hold) -> CallerWrites {
        CallerWrites {
            unsent,
            is_request_open: Cell::new(false),
            is_stream_open: Cell::new(false),
            is_too_slow: Cell::new(false),
            request_id: RefCell::default(),
        }
    }

    /// Records that a request was received.
    pub fn begin_request(&self) {
        self.is_request_open.set(true);
    }

    /// Records that an answer begins. One that is no stream is there in full.
    pub fn begin_answer(&self, request_id: &str, is_stream: bool) {
        self.is_request_open.set(is_stream);
        self.is_stream_open.set(is_stream);
        *self.request_id.borrow_mut() = request_id.to_owned();
    }

    /// Records that all of the answer is there to be written.
    pub fn end_answer(&self) {
        self.is_request_open.set(false);
        self.is_stream_open.set(false);
    }

    /// Records bytes that are to be written.
    pub fn record_queued(&self, bytes: usize) {
        self.unsent.add(bytes);
    }

    /// Records that the connection is closed as its caller reads too slowly.
    pub(super) fn record_too_slow(&self) {
        self.is_too_slow.set(true);
    }

    /// Returns whether a request is worked on, whose answer isn't there in full.
    pub(super) fn is_request_open(&self) -> bool {
        self.is_request_open.get()
    }

    /// Returns whether an engine waits until the rest of its stream is taken.
    pub fn is_stream_open(&self) -> bool {
        self.is_stream_open.get()
    }

    /// Returns whether the connection was closed as its caller reads too slowly.
    pub fn is_too_slow(&self) -> bool {
        self.is_too_slow.get()
    }

    /// Returns the number of bytes that the caller hasn't taken.
    pub fn unsent_bytes(&self) -> usize {
        self.unsent.bytes()
    }

    /// Returns the ID of the request that was answered last; empty if there is none.
    pub fn request_id(&self) -> String {
        self.request_id.borrow().clone()
    }
}
