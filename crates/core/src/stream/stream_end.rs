use super::EventScanner;

/// What the end of an engine's stream says of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEnd {
    /// All of it has arrived, as its framing tells.
    Complete,
    /// It ended between events, and only with its connection, so that the engine may have
    /// ended or broken it off.
    Unconfirmed,
    /// It ended inside an event, so the engine broke it off.
    InsideEvent,
    /// Its connection ended before any event.
    NoEvent,
}

impl StreamEnd {
    /// Returns what the end says of a stream with the events that `scanner` has read.
    ///
    /// Where only the end of the connection ends the stream (`ends_with_connection`),
    /// an engine that crashes ends it as well, also between two events. Without an event it
    /// was not complete, unless it was to go on behind events that the caller has
    /// (`is_resumed`).
    pub fn of(scanner: &EventScanner, ends_with_connection: bool, is_resumed: bool) -> StreamEnd {
        if !scanner.is_between_events() {
            return StreamEnd::InsideEvent;
        }
        match ends_with_connection {
            true if !is_resumed && !scanner.has_events() => StreamEnd::NoEvent,
            true => StreamEnd::Unconfirmed,
            false => StreamEnd::Complete,
        }
    }
}
