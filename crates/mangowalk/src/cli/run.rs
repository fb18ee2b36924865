use {
    super::command::command, crate::failure::Failure, bpaf::Args, error_stack::Report,
    mangowalkd::cli::print_usage, std::process::ExitCode,
};

/// Runs the client with the arguments of the process, and returns its exit
/// code.
pub fn run() -> ExitCode {
    let options = command();
    let command = match options.run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return print_usage("mangowalk", &options, &failure),
    };
    match command.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => print_failure(&report),
    }
}

/// Prints the failure and, indented below it, the details attached to it.
/// Returns its exit code.
fn print_failure(report: &Report<Failure>) -> ExitCode {
    let failure = report.current_context();
    eprintln!("mangowalk: {failure}");
    for cause in report.frames().filter_map(|f| f.downcast_ref::<String>()) {
        eprintln!("  {cause}");
    }
    ExitCode::from(failure.exit_code())
}
