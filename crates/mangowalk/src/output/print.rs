use {
    serde::Serialize,
    std::io::{self, Write},
};

/// Where and how results are printed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Output {
    /// Whether programs read the result.
    pub(crate) json: bool,
}

impl Output {
    /// Prints a result, as JSON or as text.
    pub(crate) fn print(self, result: &impl Serialize, text: &str) {
        if self.json {
            let json = serde_json::to_string_pretty(result).unwrap_or_default();
            print_line(&json);
        } else if !text.is_empty() {
            print_line(text.trim_end());
        }
    }
}

/// A reader that has gone, such as `head`, is no failure of the command.
fn print_line(text: &str) {
    let _ = writeln!(io::stdout(), "{text}");
}

/// Tells a waiting person what happens.
pub(crate) fn progress(text: &str) {
    let _ = writeln!(io::stderr(), "{text}");
}
