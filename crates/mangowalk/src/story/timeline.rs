use {
    super::{cause::explain_outcome, line::LogLine},
    std::fmt::Write,
};

/// Time before and after a request in which events of its engines are shown, in
/// milliseconds. The clocks of instances may differ by about as much.
const ENGINE_EVENT_MARGIN_MS: u64 = 3_000;

/// Events of engines that can explain the outcome of a request.
const ENGINE_EVENTS: [&str; 8] = [
    "engine_silent",
    "engine_answers_again",
    "engine_listed",
    "engine_missing",
    "engine_leaves",
    "engine_gone",
    "weights_step",
    "ordered",
];

/// Events that say why an engine was still used or no longer used. Those logged
/// by the instances of the request are shown however old they are.
const ENGINE_LIST_EVENTS: [&str; 4] = [
    "engine_listed",
    "engine_missing",
    "engine_leaves",
    "engine_gone",
];

/// Returns the events of a request and of its engines by time, and the cause of
/// the request's end; `None` if no line has the request's ID.
pub(super) fn request_timeline(lines: &[LogLine], request: &str) -> Option<String> {
    let mut request_lines: Vec<&LogLine> = lines
        .iter()
        .filter(|line| line.field("request") == request)
        .collect();
    // Lines of one instance are in order; lines of different instances are
    // ordered by the instances' own clocks.
    request_lines.sort_by_key(|line| line.wall_ms);
    let (first, last) = (request_lines.first()?, request_lines.last()?);
    let engines: Vec<&str> = request_lines
        .iter()
        .map(|line| line.field("engine"))
        .filter(|e| !e.is_empty())
        .collect();
    let mut engine_lines: Vec<&LogLine> = lines
        .iter()
        .filter(|line| ENGINE_EVENTS.contains(&line.event.as_str()))
        .filter(|line| engines.contains(&line.field("engine")))
        .filter(|line| line.wall_ms <= last.wall_ms + ENGINE_EVENT_MARGIN_MS)
        .filter(|line| {
            line.wall_ms + ENGINE_EVENT_MARGIN_MS >= first.wall_ms
                || is_engine_list_event(line, &request_lines)
        })
        .collect();
    engine_lines.sort_by_key(|line| line.wall_ms);
    let mut text = String::new();
    for line in &request_lines {
        write_line(&mut text, line, first.wall_ms);
    }
    if !engine_lines.is_empty() {
        text.push_str("\nMeanwhile, of the engines it met:\n");
        for line in &engine_lines {
            write_line(&mut text, line, first.wall_ms);
        }
    }
    // Writing to a string can't fail.
    let _ = write!(
        text,
        "\n{}\n",
        explain_outcome(&request_lines, &engine_lines)
    );
    Some(text)
}

/// Returns whether a line is about an engine's entry in the engine list, logged
/// by an instance that had the request.
fn is_engine_list_event(line: &LogLine, request_lines: &[&LogLine]) -> bool {
    ENGINE_LIST_EVENTS.contains(&line.event.as_str())
        && request_lines
            .iter()
            .any(|other| other.instance == line.instance)
}

/// Writes a line with its time relative to `start_ms`.
fn write_line(text: &mut String, line: &LogLine, start_ms: u64) {
    let after_ms = line.wall_ms as i64 - start_ms as i64;
    let fields: Vec<String> = line
        .fields
        .iter()
        .filter(|(name, _)| !["request", "level"].contains(&name.as_str()))
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    // Writing to a string can't fail.
    let _ = writeln!(
        text,
        "{after_ms:>7} ms  {:<16} {:<20} {}",
        line.instance,
        line.event,
        fields.join(" ")
    );
}
