use {
    super::{Settings, args, usage},
    crate::Daemon,
    std::process::ExitCode,
};

/// Exit code for settings that can't be used.
pub(super) const EXIT_SETTINGS: u8 = 2;

/// Runs the program with the arguments of the process.
pub fn run() -> ExitCode {
    let args = match args().run_inner(bpaf::Args::current_args()) {
        Ok(args) => args,
        Err(failure) => return usage::fail(failure),
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
