//! Error messages for arguments that can't be parsed.
//!
//! The parser's message holds the text of a flag that it can't parse, but neither
//! the name nor the text of an environment variable. Among many variables of a unit
//! file the wrong one is hard to find, so this module names the flag or variable.

use {
    bpaf::{OptionParser, ParseFailure},
    std::{env, process::ExitCode},
};

/// Exit code for arguments or settings that can't be used.
pub(super) const EXIT_USAGE: u8 = 2;

/// Line width of the help text, in columns.
const HELP_WIDTH: usize = 90;

const VARIABLE_PREFIX: &str = "MANGOWALK_";

/// Phrase in the parser's message for a text that it can't parse.
const PARSE_FAILURE: &str = "couldn't parse";

/// Prints the parser's help, version or completion script, or an error message
/// for arguments that can't be used. Returns the exit code.
pub fn print_usage<T>(
    program: &str,
    options: &OptionParser<T>,
    failure: &ParseFailure,
) -> ExitCode {
    let ParseFailure::Stderr(message) = failure else {
        failure.print_message(HELP_WIDTH);
        return ExitCode::SUCCESS;
    };
    let text = usage_message(
        &message.monochrome(false),
        &|given| match options.run_inner(given) {
            Err(ParseFailure::Stderr(message)) => Some(message.monochrome(false)),
            _ => None,
        },
    );
    eprintln!("{program}: {text}");
    ExitCode::from(EXIT_USAGE)
}

/// Returns the error message for arguments that the parser refused with
/// `message`.
///
/// `parse` runs the parser on other arguments, and returns its message if it
/// refuses them.
fn usage_message(message: &str, parse: &dyn Fn(&[String]) -> Option<String>) -> String {
    let given: Vec<String> = env::args().skip(1).collect();
    let Some((name, text)) = find_invalid_argument(&given, message, parse) else {
        return message.trim().to_owned();
    };
    let why = message.rsplit(": ").next().unwrap_or_default().trim();
    format!("{name} is {text:?}. {}", remedy(why))
}

/// Returns the name of the flag or variable that can't be parsed, and its text.
fn find_invalid_argument(
    given: &[String],
    message: &str,
    parse: &dyn Fn(&[String]) -> Option<String>,
) -> Option<(String, String)> {
    if !message.contains(PARSE_FAILURE) {
        return None;
    }
    find_flag(given, message).or_else(|| find_variable(given, parse))
}

fn find_flag(given: &[String], message: &str) -> Option<(String, String)> {
    let pairs = given.iter().enumerate().map(|(i, arg)| {
        let next = given.get(i + 1).map_or("", String::as_str);
        arg.split_once('=').unwrap_or((arg, next))
    });
    pairs
        .filter(|(flag, _)| flag.starts_with("--"))
        .find(|(_, text)| message.contains(&format!("{PARSE_FAILURE} `{text}`")))
        .map(|(flag, text)| (flag.to_owned(), text.to_owned()))
}

/// Finds the variable by passing the text of each one as a flag, because the
/// parser's message holds the text of a flag that it can't parse.
fn find_variable(
    given: &[String],
    parse: &dyn Fn(&[String]) -> Option<String>,
) -> Option<(String, String)> {
    let variables = env::vars().filter(|(name, _)| name.starts_with(VARIABLE_PREFIX));
    variables.into_iter().find(|(name, text)| {
        let flag = name[VARIABLE_PREFIX.len()..]
            .to_lowercase()
            .replace('_', "-");
        let mut given = given.to_vec();
        given.push(format!("--{flag}={text}"));
        let message = parse(&given).unwrap_or_default();
        message.contains(&format!("{PARSE_FAILURE} `{text}`"))
    })
}

/// Returns what to write instead. The errors of the standard library don't say
/// so and are replaced; the project's own errors do.
fn remedy(why: &str) -> &str {
    if why.contains("socket address") {
        return "Write an IP number and port, such as 10.0.0.2:7000.";
    }
    if why.contains("digit") || why.contains("integer") || why.contains("number") {
        return "Write a whole number without a unit.";
    }
    why
}
