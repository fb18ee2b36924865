use {
    super::{Settings, args, usage_message},
    crate::Daemon,
    bpaf::ParseFailure,
    std::process::ExitCode,
};

/// Exit code for settings that can't be used.
const EXIT_SETTINGS: u8 = 2;

/// Width to which help is wrapped.
const HELP_WIDTH: usize = 90;

/// Runs the program with the arguments of the process.
pub fn run() -> ExitCode {
    let args = match args().run_inner(bpaf::Args::current_args()) {
        Ok(args) => args,
        Err(failure) => return usage(&failure),
    };
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .format_target(false)
        .init();
    let settings = match Settings::check(&args) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("mangowalkd: {error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if args.check {
        println!("The settings can be used.");
        return ExitCode::SUCCESS;
    }
    match Daemon::start(settings) {
        Ok(daemon) => daemon.wait(),
        Err(report) => {
            eprintln!("mangowalkd: {report:?}");
            ExitCode::FAILURE
        }
    }
}

/// Prints help, or why the arguments can't be used.
fn usage(failure: &ParseFailure) -> ExitCode {
    let ParseFailure::Stderr(message) = failure else {
        failure.print_message(HELP_WIDTH);
        return ExitCode::SUCCESS;
    };
    let told = usage_message(
        &message.monochrome(false),
        &|given| match args().run_inner(given) {
            Err(ParseFailure::Stderr(message)) => Some(message.monochrome(false)),
            _ => None,
        },
    );
    eprintln!("mangowalkd: {told}");
    ExitCode::from(EXIT_SETTINGS)
}
