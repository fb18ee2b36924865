use {
    super::{cause::cause, line::Line},
    std::fmt::Write,
};

/// Time before and after a request in which lines on its engines matter.
/// Instances' clocks may differ by about as much.
const AROUND_MS: u64 = 3_000;

/// Events on engines that explain what a request met there.
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

/// Events that say why an engine was still used, or no longer; those of the
/// request's own instances matter however long ago they were.
const LIST_EVENTS: [&str; 4] = [
    "engine_listed",
    "engine_missing",
    "engine_leaves",
    "engine_gone",
];

/// Tells the story of a request from log lines; `None` where none names it.
pub(super) fn tell(lines: &[Line], request: &str) -> Option<String> {
    let mut own: Vec<&Line> = lines
        .iter()
        .filter(|line| line.field("request") == request)
        .collect();
    // Lines of one instance are in order; those of others are ordered by
    // their own clocks.
    own.sort_by_key(|line| line.wall_ms);
    let (first, last) = (own.first()?, own.last()?);
    let engines: Vec<&str> = own
        .iter()
        .map(|line| line.field("engine"))
        .filter(|e| !e.is_empty())
        .collect();
    let mut around: Vec<&Line> = lines
        .iter()
        .filter(|line| ENGINE_EVENTS.contains(&line.event.as_str()))
        .filter(|line| engines.contains(&line.field("engine")))
        .filter(|line| line.wall_ms <= last.wall_ms + AROUND_MS)
        .filter(|line| line.wall_ms + AROUND_MS >= first.wall_ms || is_of_list(line, &own))
        .collect();
    around.sort_by_key(|line| line.wall_ms);
    let mut text = String::new();
    for line in &own {
        write_line(&mut text, line, first.wall_ms);
    }
    if !around.is_empty() {
        text.push_str("\nMeanwhile, of the engines it met:\n");
        for line in &around {
            write_line(&mut text, line, first.wall_ms);
        }
    }
    // Writing to a string can't fail.
    let _ = write!(text, "\n{}\n", cause(&own, &around));
    Some(text)
}

/// Returns whether a line tells what an instance that had the request knew of
/// an engine's entry.
fn is_of_list(line: &Line, own: &[&Line]) -> bool {
    LIST_EVENTS.contains(&line.event.as_str())
        && own.iter().any(|own| own.instance == line.instance)
}

fn write_line(text: &mut String, line: &Line, begin_ms: u64) {
    let after_ms = line.wall_ms as i64 - begin_ms as i64;
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
