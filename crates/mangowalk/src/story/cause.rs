use super::line::LogLine;

/// Returns sentences that say why a request ended as it did.
///
/// `request_lines` holds the log lines of the request, and `engine_lines` those
/// of events of the engines that they name, both ordered by time.
pub(super) fn explain_outcome(request_lines: &[&LogLine], engine_lines: &[&LogLine]) -> String {
    format!(
        "{}{}",
        explain_end(request_lines, engine_lines),
        explain_uncertain_engine(request_lines)
    )
}

/// Explains the last line of the request that tells an end (see [`is_end`]).
fn explain_end(request_lines: &[&LogLine], engine_lines: &[&LogLine]) -> String {
    let Some(last) = request_lines.iter().rev().find(|line| is_end(line)) else {
        return "No line tells how it ended: the instance ended, or the caller left first."
            .to_owned();
    };
    match (last.event.as_str(), last.field("reason")) {
        ("answered", _) if !last.field("peer").is_empty() => format!(
            "Instance {} answered it with status {} after {} ms, to which it was passed on{}.",
            last.field("peer"),
            last.field("status"),
            last.field("took_ms"),
            failed_attempts(request_lines),
        ),
        ("answered", _) => format!(
            "Engine {} answered it with status {} after {} ms{}.",
            last.field("engine"),
            last.field("status"),
            last.field("took_ms"),
            failed_attempts(request_lines),
        ),
        ("stream_cut", reason) => explain_cut_stream(request_lines, engine_lines, reason),
        (_, "over_rate") => "It was refused at once: its team's rate was used up over all instances. It has not run.".to_owned(),
        (_, "engines_rest") => explain_rest(last),
        (_, "no_engine") => explain_no_engine(request_lines, engine_lines),
        (_, "answer_lost") => explain_lost_answer(request_lines, engine_lines),
        (_, "timed_out") => format!(
            "Its time was over and engine {} had not answered; it may have run.",
            last_engine(request_lines),
        ),
        (_, "starting") => "The instance had just started and knew no configuration yet. It has not run.".to_owned(),
        (_, reason) => format!("It was refused: {reason}."),
    }
}

/// Says what the instance knew when it chose an engine that may already have left
/// the fleet; empty if it chose no such engine. Of several, the last one counts.
fn explain_uncertain_engine(request_lines: &[&LogLine]) -> String {
    let Some(line) = request_lines
        .iter()
        .rev()
        .find(|line| line.event == "uncertain_engine")
    else {
        return String::new();
    };
    let engine = line.field("engine");
    let list = format!(
        "the list here was {} ms old, read up to revision {}",
        line.field("list_age_ms"),
        line.field("list_revision"),
    );
    let report = match line.field("reported_by") {
        "none" => "no peer had said that it leaves".to_owned(),
        peer => format!(
            "{peer} had said {} ms before that it leaves as of revision {}",
            line.field("reported_ago_ms"),
            line.field("departure_revision"),
        ),
    };
    let why = match line.field("reason") {
        "missing" => format!(
            "the list had lacked it for {} ms, and it was used in case its entry had lapsed",
            line.field("missing_ms"),
        ),
        _ => format!(
            "its entry of revision {} stood",
            line.field("entry_revision")
        ),
    };
    format!(" Engine {engine} may have left before: {why}; {list}; {report}.")
}

fn is_end(line: &LogLine) -> bool {
    ["answered", "refused", "stream_cut"].contains(&line.event.as_str())
}

/// Returns the engine that the request was sent to last; `(none)` if it was not
/// sent.
fn last_engine<'a>(request_lines: &[&'a LogLine]) -> &'a str {
    let sent = request_lines.iter().rev().find(|line| line.event == "sent");
    sent.map_or("(none)", |line| line.field("engine"))
}

/// Returns the number of attempts and the reason of each failure among them;
/// empty if there were fewer than two attempts.
fn failed_attempts(request_lines: &[&LogLine]) -> String {
    let sends = request_lines
        .iter()
        .filter(|line| line.event == "sent")
        .count();
    if sends < 2 {
        return String::new();
    }
    let failures = request_lines.iter().filter(|line| {
        ["rejected", "engine_failed", "send_failed", "resumed"].contains(&line.event.as_str())
    });
    let failure_texts: Vec<String> = failures
        .map(|line| format!("{} {}", line.field("engine"), line.field("reason")))
        .collect();
    format!(", sent {sends} times ({})", failure_texts.join("; "))
}

/// Explains a request that no engine accepted.
/// Explains a refusal while all engines rest, by its line.
fn explain_rest(refused: &LogLine) -> String {
    let wait = refused.field("retry_after_ms");
    let wait_ms = wait.trim_start_matches("Some(").trim_end_matches(')');
    format!(
        "It was refused at once: all engines of its service had asked this instance for rest. The caller was told to come back after {wait_ms} ms. It has not run."
    )
}

fn explain_no_engine(request_lines: &[&LogLine], engine_lines: &[&LogLine]) -> String {
    if let Some(full_line) = request_lines.iter().find(|line| line.event == "full") {
        return format!(
            "It was refused at once: at the best engine, {}, it would have waited {} ms, for a target of {} ms. It has not run.",
            full_line.field("engine"),
            full_line.field("wait_ms"),
            full_line.field("target_ms"),
        );
    }
    let rejections: Vec<String> = request_lines
        .iter()
        .filter(|line| line.event == "rejected")
        .map(|line| {
            format!(
                "{} ({}{})",
                line.field("engine"),
                line.field("reason"),
                loading_note(line, engine_lines)
            )
        })
        .collect();
    if !rejections.is_empty() {
        return format!(
            "Engines refused it as not run: {}. It has not run.",
            rejections.join(", ")
        );
    }
    "No engine of its service took work: all were leaving, silent, or had weights out of bounds. It has not run.".to_owned()
}

/// Returns a note if an order to load new weights had been sent to the engine
/// when it rejected the request, else an empty string.
fn loading_note(rejection: &LogLine, engine_lines: &[&LogLine]) -> &'static str {
    let was_ordered = engine_lines.iter().any(|other| {
        other.event == "weights_step"
            && other.field("engine") == rejection.field("engine")
            && other.field("phase") == "Sent"
            && other.wall_ms <= rejection.wall_ms
    });
    if was_ordered {
        ", taking new weights"
    } else {
        ""
    }
}

/// Explains a request that was sent and whose answer was lost.
fn explain_lost_answer(request_lines: &[&LogLine], engine_lines: &[&LogLine]) -> String {
    let failed = request_lines
        .iter()
        .rev()
        .find(|line| line.event == "send_failed" || line.event == "engine_failed");
    let (name, why) = failed.map_or(("(none)", "lost"), |line| {
        let why = if line.event == "send_failed" {
            line.field("error")
        } else {
            line.field("reason")
        };
        (line.field("engine"), why)
    });
    let was_silent = engine_lines
        .iter()
        .any(|line| line.event == "engine_silent" && line.field("engine") == name);
    let state = if was_silent {
        " The engine took no connection around that time."
    } else {
        ""
    };
    format!(
        "It was sent to engine {name} and no answer came back: {why}. It may have run, so it was not sent again.{state}"
    )
}

/// Explains a stream that was cut off.
fn explain_cut_stream(
    request_lines: &[&LogLine],
    engine_lines: &[&LogLine],
    reason: &str,
) -> String {
    let name = last_engine(request_lines);
    let was_cut_by_order = engine_lines.iter().any(|line| {
        line.event == "ordered" && line.field("engine") == name && line.field("cut") == "true"
    });
    let why = match (was_cut_by_order, reason) {
        (true, _) => "the engine was told to take new weights",
        (false, "timed_out") => "its time was over",
        (false, _) => "the engine's connection ended",
    };
    format!(
        "Its stream from engine {name} was cut off ({reason}): {why}, and it could not go on elsewhere. The caller's connection was closed without an end, so that the answer does not look whole."
    )
}
