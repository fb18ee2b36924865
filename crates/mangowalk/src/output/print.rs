use {
    serde::Serialize,
    std::io::{self, Write},
};

/// Printer of results on standard output.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Output {
    /// Whether to print JSON instead of text.
    pub(crate) json: bool,
}

impl Output {
    /// Prints a result as JSON, or `text` if that is not empty.
    pub(crate) fn print(self, result: &impl Serialize, text: &str) {
        if self.json {
            let json = serde_json::to_string_pretty(result).unwrap_or_default();
            print_line(&json);
        } else if !text.is_empty() {
            print_line(text.trim_end());
        }
    }
}

/// Prints a line. Errors are ignored: a closed pipe, such as that of `head`, is
/// no failure of the command.
fn print_line(text: &str) {
    let _ = writeln!(io::stdout(), "{text}");
}

/// Prints a message about the progress of a command on standard error.
pub(crate) fn progress(text: &str) {
    let _ = writeln!(io::stderr(), "{text}");
}
