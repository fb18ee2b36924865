use std::collections::BTreeMap;

/// Field by which a line of an instance's log begins. What stands before it
/// was put there by whatever collected the logs.
const FIRST_FIELD: &str = "wall_ms=";

/// One line of an instance's log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct LogLine {
    /// Time of day at the instance. Clocks of instances differ.
    pub(super) wall_ms: u64,
    /// The instance.
    pub(super) instance: String,
    /// What happened.
    pub(super) event: String,
    /// Everything else, by name.
    pub(super) fields: BTreeMap<String, String>,
}

impl LogLine {
    /// Reads a line; `None` where it is none of an instance's.
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

    /// Returns a field, empty where it is missing.
    pub(super) fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

/// Splits at blanks that stand in no quotes.
fn split_unquoted(text: &str) -> impl Iterator<Item = &str> {
    let mut is_quoted = false;
    text.split(move |c: char| {
        is_quoted ^= c == '"';
        c == ' ' && !is_quoted
    })
}
