use {
    super::open_connection::OpenConnection,
    http_body_util::BodyExt,
    hyper::body::Bytes,
    mangowalk_core::edge::SendError,
    mangowalk_gateway::bounded::MeteredBody,
    std::io::{self, ErrorKind, Read},
    tokio::{
        runtime::Handle,
        time::{Instant, timeout_at},
    },
};

/// Body of an answer, as a blocking reader.
///
/// Its end is reported only for a complete body; one that breaks off is an error.
pub struct AnswerBody {
    event_loop: Handle,
    body: MeteredBody,
    /// Bytes that were received and not read yet.
    received: Bytes,
    until: Instant,
    /// Whether a read has failed, after which no end may be reported.
    is_broken: bool,
    /// Keeps the connection open while the body is read.
    connection: OpenConnection,
    /// Whether only the end of the connection tells the end of the body.
    ends_with_connection: bool,
}

impl AnswerBody {
    pub(super) fn new(
        event_loop: Handle,
        body: MeteredBody,
        until: Instant,
        connection: OpenConnection,
        ends_with_connection: bool,
    ) -> AnswerBody {
        AnswerBody {
            event_loop,
            body,
            received: Bytes::new(),
            until,
            is_broken: false,
            connection,
            ends_with_connection,
        }
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Fails with [`SendError::Lost`] if the body breaks off or is longer than `max_bytes`, and
    /// with [`SendError::TimedOut`] if the time of the call ends first.
    pub fn read_whole(self, max_bytes: usize) -> Result<Vec<u8>, SendError> {
        let mut bytes = Vec::new();
        let read = self.take(max_bytes as u64 + 1).read_to_end(&mut bytes);
        match read {
            Ok(read) if read <= max_bytes => Ok(bytes),
            Err(error) if error.kind() == ErrorKind::TimedOut => Err(SendError::TimedOut),
            _ => Err(SendError::Lost),
        }
    }

    /// Waits for further bytes. Returns whether there are any.
    fn receive(&mut self) -> io::Result<bool> {
        if self.is_broken {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let received = self.receive_data();
        self.is_broken = received.is_err();
        received
    }

    /// Returns whether the end of the body is only that of its connection, which was cut.
    fn was_cut(&mut self) -> bool {
        self.ends_with_connection && self.event_loop.block_on(self.connection.was_cut())
    }

    fn receive_data(&mut self) -> io::Result<bool> {
        while self.received.is_empty() {
            let body = &mut self.body;
            let until = self.until;
            let received = async { timeout_at(until, body.frame()).await };
            let frame = match self.event_loop.block_on(received) {
                Err(_) => return Err(ErrorKind::TimedOut.into()),
                Ok(None) if self.was_cut() => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(None) => return Ok(false),
                Ok(Some(frame)) => frame.map_err(io::Error::other)?,
            };
            if let Ok(data) = frame.into_data() {
                self.received = data;
            }
        }
        Ok(true)
    }
}

impl Read for AnswerBody {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if buffer.is_empty() || !self.receive()? {
            return Ok(0);
        }
        let read = buffer.len().min(self.received.len());
        buffer[..read].copy_from_slice(&self.received.split_to(read));
        Ok(read)
    }
}
