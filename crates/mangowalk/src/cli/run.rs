use {
    super::command::command,
    crate::failure::Failure,
    bpaf::{Args, ParseFailure},
    error_stack::Report,
    mangowalkd::cli::usage_message,
    std::process::ExitCode,
};

const EXIT_USAGE: u8 = 2;

/// Width to which help is wrapped.
const HELP_WIDTH: usize = 90;

/// Runs the client with the arguments of the process.
pub fn run() -> ExitCode {
    let command = match command().run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return usage(&failure),
    };
    match command.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => failed(&report),
    }
}

/// Prints help or a script, or why the arguments can't be used.
fn usage(failure: &ParseFailure) -> ExitCode {
    let ParseFailure::Stderr(message) = failure else {
        failure.print_message(HELP_WIDTH);
        return ExitCode::SUCCESS;
    };
    let told = usage_message(
        &message.monochrome(false),
        &|given| match command().run_inner(given) {
            Err(ParseFailure::Stderr(message)) => Some(message.monochrome(false)),
            _ => None,
        },
    );
    eprintln!("mangowalk: {told}");
    ExitCode::from(EXIT_USAGE)
}

/// Prints the failure first and what led to it below.
fn failed(report: &Report<Failure>) -> ExitCode {
    let failure = report.current_context();
    eprintln!("mangowalk: {failure}");
    for cause in report.frames().filter_map(|f| f.downcast_ref::<String>()) {
        eprintln!("  {cause}");
    }
    ExitCode::from(failure.exit_code())
}
