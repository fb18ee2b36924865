/// Follows the bytes of a stream of server-sent events and finds where events end.
///
/// Lines end with `\n`, `\r\n` or `\r`, and an event ends with an empty line, as the
/// WHATWG HTML standard says. Between two events there may be comment lines. The
/// stream may arrive in pieces of any size.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EventScanner {
    position: Position,
    /// Whether a line of the current event has begun.
    is_in_event: bool,
    /// Whether a line has ended with `\r\n`, so that a `\r` alone isn't the whole end
    /// of a line.
    has_line_pairs: bool,
    has_events: bool,
    unfinished_bytes: usize,
    unfinished_lines: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Position {
    #[default]
    LineStart,
    InLine,
    /// Behind a `\r`, whose `\n` may follow.
    AfterReturn {
        is_line_empty: bool,
    },
}

impl EventScanner {
    /// Reads the next bytes. Returns how many of them lie before the last place
    /// between two events, or `None` if there is no such place among them.
    pub fn scan(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut boundary = None;
        for (index, byte) in bytes.iter().enumerate() {
            self.unfinished_bytes += 1;
            self.read(*byte);
            if self.is_between_events() {
                boundary = Some(index + 1);
            }
        }
        boundary
    }

    /// Returns whether the stream could end here: neither an event nor a comment has
    /// begun without its end.
    pub fn is_between_events(&self) -> bool {
        match self.position {
            Position::LineStart => !self.is_in_event,
            Position::InLine => false,
            Position::AfterReturn { .. } if self.has_line_pairs => false,
            Position::AfterReturn { is_line_empty } => is_line_empty || !self.is_in_event,
        }
    }

    /// Returns whether a line of an event has begun whose end hasn't arrived.
    pub fn is_in_event(&self) -> bool {
        self.is_in_event && !self.is_between_events()
    }

    /// Returns the number of bytes of the event that has begun, or of what stands behind the
    /// last one.
    pub fn unfinished_bytes(&self) -> usize {
        self.unfinished_bytes
    }

    /// Returns the number of complete lines among [`Self::unfinished_bytes`].
    pub fn unfinished_lines(&self) -> usize {
        self.unfinished_lines
    }

    /// Returns whether at least one event has arrived in full.
    pub fn has_events(&self) -> bool {
        self.has_events || self.is_in_event && self.is_between_events()
    }

    fn read(&mut self, byte: u8) {
        if let Position::AfterReturn { is_line_empty } = self.position {
            self.end_line(is_line_empty);
            if byte == b'\n' {
                self.has_line_pairs = true;
                return;
            }
        }
        let is_line_empty = self.position == Position::LineStart;
        match byte {
            b'\n' => self.end_line(is_line_empty),
            b'\r' => self.position = Position::AfterReturn { is_line_empty },
            b':' if is_line_empty => self.position = Position::InLine,
            _ => {
                if is_line_empty && !self.is_in_event {
                    self.is_in_event = true;
                    self.unfinished_bytes = 1;
                    self.unfinished_lines = 0;
                }
                self.position = Position::InLine;
            }
        }
    }

    fn end_line(&mut self, is_line_empty: bool) {
        self.position = Position::LineStart;
        self.unfinished_lines += 1;
        if !is_line_empty {
            return;
        }
        if self.is_in_event {
            self.has_events = true;
            self.unfinished_bytes = 0;
            self.unfinished_lines = 0;
        }
        self.is_in_event = false;
    }
}
