use {
    mangowalk_core::{edge::SendError, stream::EventBounds},
    std::io::{BufRead, Read},
};

/// Lines of a stream of events, each with one line of data.
///
/// An engine may send an endless sequence of bytes. A line that doesn't end, and lines that are
/// no data and go on, end the stream as if its connection were lost.
pub(super) struct EventLines<R> {
    reader: R,
    line: Vec<u8>,
    bounds: EventBounds,
    /// Bytes of lines without data since the last one with data.
    other_bytes: usize,
}

impl<R: BufRead> EventLines<R> {
    pub(super) fn new(reader: R) -> EventLines<R> {
        EventLines {
            reader,
            line: Vec::new(),
            bounds: EventBounds::default(),
            other_bytes: 0,
        }
    }

    /// Returns the data of the next event, or `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends, a bound is exceeded or a line is no text.
    pub(super) fn next_data(&mut self) -> Result<Option<&str>, SendError> {
        while self.read_line()? {
            if self.line.starts_with(DATA) {
                self.other_bytes = 0;
                let data = std::str::from_utf8(&self.line[DATA.len()..]);
                return data.map(Some).map_err(|_| SendError::Lost);
            }
            self.other_bytes += self.line.len();
            if self.other_bytes > self.bounds.max_comment_bytes {
                return Err(SendError::Lost);
            }
        }
        Ok(None)
    }

    /// Reads a line. Returns whether there is one.
    fn read_line(&mut self) -> Result<bool, SendError> {
        self.line.clear();
        let max_bytes = self.bounds.max_event_bytes;
        let mut limited = (&mut self.reader).take(max_bytes as u64 + 1);
        let read = limited.read_until(b'\n', &mut self.line);
        let read = read.map_err(|_| SendError::Lost)?;
        match read > max_bytes {
            true => Err(SendError::Lost),
            false => Ok(read > 0),
        }
    }
}

const DATA: &[u8] = b"data:";
