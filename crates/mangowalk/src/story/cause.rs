use super::line::LogLine;

/// Returns sentences that say why a request ended as it did.
///
/// `request_lines` holds the lines of the request by time, `engine_lines` those
/// about the engines that `request_lines` name.
pub(super) fn explain_outcome(request_lines: &[&LogLine], engine_lines: &[&LogLine]) -> String {
    format!(
        "{}{}",
        explain_end(request_lines, engine_lines),
        explain_uncertain_engine(request_lines)
    )
}

/// Explains the last event that ended the request.
fn explain_end(request_lines: &[&LogLine], engine_lines: &[&LogLine]) -> String {
    let Some(last) = request_lines.iter().rev().find(|line| is_end(line)) else {
        return "No line tells how it ended: the instance ended, or the caller left first."
            .to_owned();
    };
    match (last.event.as_str(), last.field("reason")) {
        ("answered", _) => format!(
            "Engine {} answered it with status {} after {} ms{}.",
            last.field("engine"),
            last.field("status"),
            last.field("took_ms"),
            failed_attempts(request_lines),
        ),
        ("stream_cut", reason) => explain_cut_stream(request_lines, engine_lines, reason),
        (_, "over_rate") => "It was refused at once: its team's rate was used up over all instances. It has not run.".to_owned(),
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

/// Explains why an engine was chosen that may have left by then; empty if there
/// is no such engine.
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

/// Returns the engine that the request was sent to last.
fn last_engine<'a>(request_lines: &[&'a LogLine]) -> &'a str {
    let sent = request_lines.iter().rev().find(|line| line.event == "sent");
    sent.map_or("(none)", |line| line.field("engine"))
}

/// Lists the failed attempts before the one that was answered; empty if there
/// was one attempt.
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
fn explain_no_engine(request_lines: &[&LogLine], engine_lines: &[&LogLine]) -> String {
    if let Some(full) = request_lines.iter().find(|line| line.event == "full") {
        return format!(
            "It was refused at once: at the best engine, {}, it would have waited {} ms, for a target of {} ms. It has not run.",
            full.field("engine"),
            full.field("wait_ms"),
            full.field("target_ms"),
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

/// Returns a note if an order for new weights was sent to the engine before it
/// rejected the request, else an empty string.
fn loading_note(line: &LogLine, engine_lines: &[&LogLine]) -> &'static str {
    let is_loading = engine_lines.iter().any(|other| {
        other.event == "weights_step"
            && other.field("engine") == line.field("engine")
            && other.field("phase") == "Sent"
            && other.wall_ms <= line.wall_ms
    });
    if is_loading {
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
    let silent = engine_lines
        .iter()
        .any(|line| line.event == "engine_silent" && line.field("engine") == name);
    let state = if silent {
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
    let ordered = engine_lines.iter().any(|line| {
        line.event == "ordered" && line.field("engine") == name && line.field("cut") == "true"
    });
    let why = match (ordered, reason) {
        (true, _) => "the engine was told to take new weights",
        (false, "timed_out") => "its time was over",
        (false, _) => "the engine's connection ended",
    };
    format!(
        "Its stream from engine {name} was cut off ({reason}): {why}, and it could not go on elsewhere. The caller's connection was closed without an end, so that the answer does not look whole."
    )
}
