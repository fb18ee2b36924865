/// Longest line. Names of other writers' entries may have any length.
const MAX_LINE_BYTES: usize = 8 * 1_024;

/// Returns a message as it is written on a line: control characters, which may come from
/// outside and would begin a line of their own, are replaced, and its end is cut off if it
/// is too long.
pub(super) fn on_one_line(mut message: String) -> String {
    if message.len() > MAX_LINE_BYTES {
        message.truncate(message.floor_char_boundary(MAX_LINE_BYTES));
        message.push_str("...");
    }
    match message.contains(char::is_control) {
        true => message.replace(char::is_control, "\u{fffd}"),
        false => message,
    }
}
