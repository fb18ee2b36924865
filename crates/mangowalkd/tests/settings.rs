//! Settings: each invalid value is refused at start with a message that says what
//! to change, and the settings page matches the program.

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, Output},
};

/// Valid settings. `--check` exits before the program listens on an address.
const VALID_SETTINGS: [(&str, &str); 4] = [
    ("caller-address", "127.0.0.1:7000"),
    ("peer-address", "127.0.0.1:7001"),
    ("platform-address", "127.0.0.1:7002"),
    ("failure-domain", "rack-1"),
];

/// A flag, an invalid value, and a text that the message must contain.
const INVALID_SETTINGS: &[(&str, &str, &str)] = &[
    ("caller-address", "here", "such as 10.0.0.2:7000"),
    (
        "caller-address",
        "0.0.0.0:7000",
        "IP number of one interface",
    ),
    ("caller-address", "127.0.0.1:0", "give a port above 0"),
    ("peer-address", "127.0.0.1", "such as 10.0.0.2:7000"),
    ("peer-address", "[::]:7000", "IP number of one interface"),
    ("peer-address", "127.0.0.1:7000", "give two ports"),
    ("platform-address", "platform:80", "such as 10.0.0.2:7000"),
    (
        "platform-address",
        "0.0.0.0:80",
        "IP number of one interface",
    ),
    ("failure-domain", "", "give a name without blanks"),
    ("failure-domain", "rack 1", "give a name without blanks"),
    ("seed-peers", "10.0.0.2", "write it as 10.0.0.2:7001"),
    ("seed-peers", "10.0.0.2:1,x", "as 10.0.0.2:7001"),
    ("max-body-bytes", "1MB", "Write a whole number"),
    ("max-body-bytes", "0", "give a number above 0"),
    ("max-open-requests", "-1", "Write a whole number"),
    ("max-open-requests", "0", "give a number above 0"),
    ("request-timeout-ms", "0", "give a number above 0"),
    ("request-timeout-ms", "2s", "Write a whole number"),
    ("request-timeout-ms", "10", "raise that"),
    ("first-token-timeout-ms", "0", "give a number above 0"),
    ("first-token-timeout-ms", "999999999", "fewer milliseconds"),
    ("caller-timeout-ms", "0", "give a number above 0"),
    ("token-timeout-ms", "0", "give a number above 0"),
    ("token-timeout-ms", "999999999", "fewer milliseconds"),
    ("drain-timeout-ms", "0", "give a number above 0"),
    ("depart-grace-ms", "soon", "Write a whole number"),
    ("stale-config-ms", "0", "give a number above 0"),
    (
        "operator-address",
        "0.0.0.0:7003",
        "IP number of one interface",
    ),
    ("operator-address", "127.0.0.1:7001", "give two ports"),
    ("favour", "speed", "give first-token or worst-team"),
    ("compute-block-us", "0", "give a number above 0"),
    ("compute-block-us", "2ms", "Write a whole number"),
    ("statsd-address", "localhost", "such as 10.0.0.2:7000"),
    ("statsd-address", "127.0.0.1:0", "give a port above 0"),
];

fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mangowalkd"));
    command.env_clear();
    command
}

fn variable(flag: &str) -> String {
    format!("MANGOWALK_{}", flag.to_uppercase().replace('-', "_"))
}

fn stderr_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn with_flags(changed: (&str, &str)) -> Output {
    let mut command = program();
    for (flag, value) in VALID_SETTINGS.into_iter().filter(|(f, _)| *f != changed.0) {
        command.arg(format!("--{flag}={value}"));
    }
    let changed = format!("--{}={}", changed.0, changed.1);
    command
        .arg(changed)
        .arg("--check")
        .output()
        .expect("the program")
}

fn with_variables(changed: (&str, &str)) -> Output {
    let mut command = program();
    for (flag, value) in VALID_SETTINGS.into_iter().filter(|(f, _)| *f != changed.0) {
        command.env(variable(flag), value);
    }
    command.env(variable(changed.0), changed.1);
    command.arg("--check").output().expect("the program")
}

#[test]
fn good_settings_are_accepted_from_flags_and_variables() {
    for given in [with_flags, with_variables] {
        let output = given(("operator-address", "127.0.0.1:7003"));
        assert_eq!(output.status.code(), Some(0), "{}", stderr_text(&output));
    }
}

#[test]
fn each_bad_value_is_refused_with_its_remedy() {
    for &(flag, value, remedy) in INVALID_SETTINGS {
        for (given, name) in [
            (with_flags as fn(_) -> _, format!("--{flag}")),
            (with_variables, variable(flag)),
        ] {
            let output: Output = given((flag, value));
            let stderr_text = stderr_text(&output);
            assert_eq!(
                output.status.code(),
                Some(2),
                "{name}={value}: {stderr_text}"
            );
            assert!(
                stderr_text.contains(remedy),
                "{name}={value}: {stderr_text}"
            );
            let named = stderr_text.contains(&name) || stderr_text.contains(&format!("--{flag}"));
            assert!(named, "{name}={value}: {stderr_text}");
        }
    }
}

#[test]
fn a_missing_setting_is_named() {
    for (missing, _) in VALID_SETTINGS {
        let mut command = program();
        for (flag, value) in VALID_SETTINGS.into_iter().filter(|(f, _)| *f != missing) {
            command.arg(format!("--{flag}={value}"));
        }
        let output = command.output().expect("the program");
        assert_eq!(output.status.code(), Some(2));
        assert!(
            stderr_text(&output).contains(&format!("--{missing}")),
            "{}",
            stderr_text(&output)
        );
    }
}

/// Returns the help as it stands on the page: without blanks at the ends of lines,
/// and made without environment variables that would appear in it.
fn help() -> String {
    let output = program().arg("--help").output().expect("the program");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let lines: Vec<&str> = text.trim().lines().map(str::trim_end).collect();
    lines.join("\n")
}

#[test]
fn every_flag_has_a_variable_and_the_table_covers_it() {
    let help = help();
    let flags: Vec<&str> = help
        .lines()
        .filter_map(|line| line.trim_start().strip_prefix("--"))
        .filter_map(|line| line.split_once('=').map(|(flag, _)| flag))
        .filter(|flag| flag.chars().all(|c| c.is_ascii_lowercase() || c == '-'))
        .collect();
    assert!(flags.len() >= VALID_SETTINGS.len(), "{help}");
    for flag in flags {
        assert!(
            help.contains(&format!("[env:{}:", variable(flag))),
            "{flag}"
        );
        assert!(
            INVALID_SETTINGS.iter().any(|(f, _, _)| *f == flag),
            "{flag} has no bad value"
        );
    }
}

#[test]
fn the_settings_page_contains_the_help_text() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/settings.md");
    let page = fs::read_to_string(page).expect("docs/settings.md");
    assert!(
        page.contains(&format!("```text\n{}\n```", help())),
        "docs/settings.md differs from `mangowalkd --help`; run scripts/update-settings-page"
    );
}

/// Returns the source files below a directory.
fn sources(directory: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(directory).expect("a directory");
    let paths = entries.map(|entry| entry.expect("an entry").path());
    paths
        .flat_map(|path| {
            if path.is_dir() {
                sources(&path)
            } else {
                vec![path]
            }
        })
        .collect()
}

/// Returns the text that follows the opening quote of each log macro in a source
/// file.
fn log_lines(source: &str) -> Vec<&str> {
    ["info!(", "warn!(", "error!(", "debug!("]
        .iter()
        .flat_map(|call| source.split(call).skip(1))
        .filter_map(|rest| rest.trim_start().strip_prefix('"'))
        .collect()
}

/// Operators look up the prefixes of log lines on the settings page, so that every
/// prefix in the source must be there.
#[test]
fn every_log_prefix_is_on_the_page() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = fs::read_to_string(root.join("../../docs/settings.md")).expect("the page");
    let mut seen = 0;
    for file in sources(&root.join("src")) {
        let source = fs::read_to_string(&file).expect("a source file");
        for line in log_lines(&source) {
            let prefix = line.split(' ').next().unwrap_or_default();
            assert!(prefix.ends_with(':'), "{}: {prefix}", file.display());
            let row = format!("| `{prefix}` |");
            assert!(page.contains(&row), "{}: {prefix}", file.display());
            seen += 1;
        }
    }
    assert!(seen > 20, "only {seen} log lines found");
}
