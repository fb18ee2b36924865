use {
    super::{
        Settings, args,
        machine::{MACHINE_COMMAND, run_machine},
        print_usage,
        usage::EXIT_USAGE,
    },
    crate::Daemon,
    std::{env, process::ExitCode},
};

/// Runs the program with the arguments of the process, and returns its exit code:
/// 0 for success, 1 for a failure, 2 for settings that can't be used.
pub fn run() -> ExitCode {
    let given: Vec<_> = env::args_os().skip(1).collect();
    if given.first().is_some_and(|word| word == MACHINE_COMMAND) {
        return run_machine(&given[1..]);
    }
    let args = match args().run_inner(bpaf::Args::current_args()) {
        Ok(args) => args,
        Err(failure) => return print_usage("mangowalkd", &args(), &failure),
    };
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
        .format_target(false)
        .init();
    let settings = match Settings::check(&args) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("mangowalkd: {error}");
            return ExitCode::from(EXIT_USAGE);
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
