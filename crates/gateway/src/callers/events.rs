use bytes::{Bytes, BytesMut};

/// Splits a stream into whole events.
///
/// An engine that crashes may stop in the middle of an event. Passed on, the
/// half event would be joined with the first one of the engine that goes on.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    rest: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Returns a splitter for a stream that goes on behind an event.
    pub(super) fn behind(last_id: Option<String>) -> EventSplitter {
        EventSplitter {
            rest: BytesMut::new(),
            last_id,
        }
    }

    /// Takes bytes, and returns those up to the end of the last whole event.
    pub(super) fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.rest.extend_from_slice(bytes);
        let Some(end) = end_of_last_event(&self.rest) else {
            return Bytes::new();
        };
        let whole = self.rest.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        whole
    }

    /// Returns whether part of an event is left.
    pub(super) fn has_rest(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Returns the id of the last whole event.
    pub(super) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    let line_feeds = bytes.windows(2).rposition(|pair| pair == b"\n\n");
    let returns = bytes.windows(4).rposition(|four| four == b"\r\n\r\n");
    let ends = [line_feeds.map(|at| at + 2), returns.map(|at| at + 4)];
    ends.into_iter().flatten().max()
}

fn last_id(events: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(events).ok()?;
    let id = text
        .lines()
        .rev()
        .find_map(|line| line.strip_prefix("id:"))?;
    Some(id.trim().to_owned())
}
