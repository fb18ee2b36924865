use std::collections::BTreeMap;

/// First field of a line that an instance logs. Log collectors may put other
/// text before it.
const FIRST_FIELD: &str = "wall_ms=";

/// One line of an instance's log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct LogLine {
    /// Wall-clock time at the instance, in milliseconds. Clocks of instances
    /// differ.
    pub(super) wall_ms: u64,
    /// Name of the instance.
    pub(super) instance: String,
    /// Name of the event.
    pub(super) event: String,
    /// Values of the other fields, by name.
    pub(super) fields: BTreeMap<String, String>,
}

impl LogLine {
    /// Parses a line; `None` if it is not a log line of an instance.
    pub(super) fn parse(text: &str) -> Option<LogLine> {
        let text = &text[text.find(FIRST_FIELD)?..];
        let mut fields: BTreeMap<String, String> = split_unquoted(text)
            .filter_map(|field| field.split_once('='))
            .map(|(name, value)| (name.to_owned(), value.trim_matches('"').to_owned()))
            .collect();
        Some(LogLine {
            wall_ms: fields.remove("wall_ms")?.parse().ok()?,
            instance: fields.remove("instance")?,
            event: fields.remove("event")?,
            fields,
        })
    }

    /// Returns the value of a field, empty if the field is missing.
    pub(super) fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

/// Splits a line at spaces outside of quotes.
fn split_unquoted(text: &str) -> impl Iterator<Item = &str> {
    let mut is_quoted = false;
    text.split(move |c: char| {
        is_quoted ^= c == '"';
        c == ' ' && !is_quoted
    })
}
