use super::EventScanner;

/// Why the bytes of a stream count as endless.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Excess {
    /// An event doesn't end.
    Event,
    /// Nothing but comments and empty lines comes.
    Comments,
}

impl Excess {
    /// Returns the reason as it is written to logs and metrics.
    pub fn reason(self) -> &'static str {
        match self {
            Excess::Event => "endless_event",
            Excess::Comments => "endless_comments",
        }
    }
}

/// Bounds on bytes of a stream that are no event.
///
/// They hold for engines that send an endless sequence of bytes. Without them such a stream
/// fills the memory of the instance, and its caller waits until the deadline although another
/// engine could go on with the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventBounds {
    /// Maximum size of an event. Engines send a piece of text with each, so that one has a
    /// few kilobytes at most.
    pub max_event_bytes: usize,
    /// Time after the first bytes of an event from which on further ones have to end it.
    /// Engines write events whole; this leaves the network time to repeat lost packets.
    pub max_event_ms: u64,
    /// Maximum size of comments and empty lines between two events.
    pub max_comment_bytes: usize,
    /// Maximum number of comments and empty lines between two events. An engine that sends
    /// one a second to keep the connection open stays below it until any deadline.
    pub max_comment_lines: usize,
}

impl Default for EventBounds {
    fn default() -> EventBounds {
        EventBounds {
            max_event_bytes: 256 * 1024,
            max_event_ms: 1_500,
            max_comment_bytes: 16 * 1024,
            max_comment_lines: 100,
        }
    }
}

impl EventBounds {
    /// Returns why a stream counts as endless after bytes that have just arrived, or `None`.
    /// `unfinished_since_ms` is when the first bytes of an unfinished event arrived.
    pub fn excess(
        &self,
        scanner: &EventScanner,
        unfinished_since_ms: Option<u64>,
        now_ms: u64,
    ) -> Option<Excess> {
        let bytes = scanner.unfinished_bytes();
        if !scanner.is_in_event() {
            let is_over = bytes > self.max_comment_bytes
                || scanner.unfinished_lines() > self.max_comment_lines;
            return is_over.then_some(Excess::Comments);
        }
        let is_late =
            unfinished_since_ms.is_some_and(|since_ms| now_ms > since_ms + self.max_event_ms);
        (bytes > self.max_event_bytes || is_late).then_some(Excess::Event)
    }
}
