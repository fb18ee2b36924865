use super::{EventBounds, EventScanner, Excess};

/// Splits a byte stream of server-sent events at event boundaries.
///
/// An engine that crashes may stop in the middle of an event. If the partial
/// event were forwarded, it would be joined with the first event of the engine
/// that resumes the stream.
#[derive(Debug, Default)]
pub struct EventSplitter {
    scanner: EventScanner,
    partial: Vec<u8>,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Returns a splitter for a stream that resumes after the event with this
    /// id; `None` for a stream from the start.
    pub fn resume_after(last_id: Option<String>) -> EventSplitter {
        EventSplitter {
            last_id,
            ..EventSplitter::default()
        }
    }

    /// Adds received bytes, and returns all bytes up to the end of the last
    /// complete event.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        let received_before = self.partial.len();
        self.partial.extend_from_slice(bytes);
        let Some(end) = self.scanner.scan(bytes) else {
            return Vec::new();
        };
        let partial = self.partial.split_off(received_before + end);
        let whole = std::mem::replace(&mut self.partial, partial);
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        whole
    }

    /// Returns whether an incomplete event is buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Returns the size of the incomplete event that is buffered.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Returns why the stream counts as endless, or `None`, like [`EventBounds::excess`].
    ///
    /// Events whose lines end in different ways are buffered together where it isn't clear
    /// whether the last line has ended, so that the buffer is bounded as well.
    pub fn excess(
        &self,
        bounds: &EventBounds,
        unfinished_since_ms: Option<u64>,
        now_ms: u64,
    ) -> Option<Excess> {
        let max_bytes = bounds.max_event_bytes + bounds.max_comment_bytes;
        let is_full = self.partial.len() > max_bytes;
        bounds
            .excess(&self.scanner, unfinished_since_ms, now_ms)
            .or_else(|| is_full.then_some(Excess::Event))
    }

    /// Returns the scanner, which knows whether events have arrived.
    pub fn scanner(&self) -> &EventScanner {
        &self.scanner
    }

    /// Returns the last event id among the complete events, or the id that the
    /// stream resumed after.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Returns the last id among the events. It searches bytes, since the data need
/// not be UTF-8: with a missed id, events would be repeated when the stream
/// resumes.
fn last_id(events: &[u8]) -> Option<String> {
    let mut lines = events.split(|byte| matches!(byte, b'\n' | b'\r')).rev();
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let id = std::str::from_utf8(id).ok()?;
    Some(id.trim().to_owned())
}
