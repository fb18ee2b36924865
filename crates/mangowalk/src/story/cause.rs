use super::line::Line;

/// Says in a sentence why a request ended as it did.
///
/// `own` holds the lines of the request in order, `around` those on the
/// engines that it met.
pub(super) fn cause(own: &[&Line], around: &[&Line]) -> String {
    format!("{}{}", end(own, around), uncertain(own))
}

fn end(own: &[&Line], around: &[&Line]) -> String {
    let Some(last) = own.iter().rev().find(|line| is_end(line)) else {
        return "No line tells how it ended: the instance ended, or the caller left first."
            .to_owned();
    };
    match (last.event.as_str(), last.field("reason")) {
        ("answered", _) => format!(
            "Engine {} answered it with status {} after {} ms{}.",
            last.field("engine"),
            last.field("status"),
            last.field("took_ms"),
            detour(own),
        ),
        ("stream_cut", reason) => cut(own, around, reason),
        (_, "over_rate") => "It was refused at once: its team's rate was used up over all instances. It has not run.".to_owned(),
        (_, "no_engine") => no_engine(own, around),
        (_, "answer_lost") => lost(own, around),
        (_, "timed_out") => format!(
            "Its time was over and engine {} had not answered; it may have run.",
            engine(own),
        ),
        (_, "starting") => "The instance had just started and knew no configuration yet. It has not run.".to_owned(),
        (_, reason) => format!("It was refused: {reason}."),
    }
}

/// Says why the engine was chosen, where it may have left by then.
fn uncertain(own: &[&Line]) -> String {
    let Some(line) = own
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

fn is_end(line: &Line) -> bool {
    ["answered", "refused", "stream_cut"].contains(&line.event.as_str())
}

fn engine<'a>(own: &[&'a Line]) -> &'a str {
    let sent = own.iter().rev().find(|line| line.event == "sent");
    sent.map_or("(none)", |line| line.field("engine"))
}

/// Names engines that were tried before the one that answered.
fn detour(own: &[&Line]) -> String {
    let sends = own.iter().filter(|line| line.event == "sent").count();
    if sends < 2 {
        return String::new();
    }
    let troubles = own.iter().filter(|line| {
        ["rejected", "engine_failed", "send_failed", "resumed"].contains(&line.event.as_str())
    });
    let named: Vec<String> = troubles
        .map(|line| format!("{} {}", line.field("engine"), line.field("reason")))
        .collect();
    format!(", sent {sends} times ({})", named.join("; "))
}

fn no_engine(own: &[&Line], around: &[&Line]) -> String {
    if let Some(full) = own.iter().find(|line| line.event == "full") {
        return format!(
            "It was refused at once: at the best engine, {}, it would have waited {} ms, for a target of {} ms. It has not run.",
            full.field("engine"),
            full.field("wait_ms"),
            full.field("target_ms"),
        );
    }
    let rejections: Vec<String> = own
        .iter()
        .filter(|line| line.event == "rejected")
        .map(|line| {
            format!(
                "{} ({}{})",
                line.field("engine"),
                line.field("reason"),
                loading(line, around)
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

/// Says so where an engine was taking new weights.
fn loading(line: &Line, around: &[&Line]) -> &'static str {
    let is_loading = around.iter().any(|other| {
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

fn lost(own: &[&Line], around: &[&Line]) -> String {
    let failed = own
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
    let silent = around
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

fn cut(own: &[&Line], around: &[&Line], reason: &str) -> String {
    let name = engine(own);
    let ordered = around.iter().any(|line| {
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
