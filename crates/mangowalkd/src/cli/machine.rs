use {
    super::{print_usage, usage::EXIT_USAGE},
    bpaf::{Bpaf, OptionParser},
    mangowalk_gateway::{RunOptions, read_settings, run},
    mangowalk_platform::SETTINGS_VARIABLE,
    std::{env, path::PathBuf, process::ExitCode},
};

/// Path of the settings file if neither the flag nor the variable gives one.
const DEFAULT_SETTINGS: &str = "/etc/mangowalk/node.conf";

/// First argument that selects this command.
pub(super) const MACHINE_COMMAND: &str = "machine";

/// Arguments of `mangowalkd machine`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
/// Runs the router on one of the users' machines, on one event loop.
struct MachineArgs {
    /// Settings file of the machine; else the variable that the platform
    /// sets, else /etc/mangowalk/node.conf.
    #[bpaf(argument("FILE"))]
    settings: Option<PathBuf>,
    /// Plans changes of weights by the known work where loads take longer than answers on
    /// older weights keep their value.
    #[bpaf(env("MANGOWALK_ROLLING_WEIGHTS"))]
    rolling_weights: bool,
    /// Checks the settings file and ends.
    check: bool,
}

fn parser() -> OptionParser<MachineArgs> {
    machine_args()
}

/// Runs `mangowalkd machine` with the arguments that follow the command.
pub(super) fn run_machine(given: &[std::ffi::OsString]) -> ExitCode {
    let args = match parser().run_inner(given) {
        Ok(args) => args,
        Err(failure) => return print_usage("mangowalkd machine", &parser(), &failure),
    };
    let named = env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    let path = args
        .settings
        .or(named)
        .unwrap_or_else(|| PathBuf::from(DEFAULT_SETTINGS));
    if args.check {
        return match read_settings(&path) {
            Ok(_) => {
                println!("The settings can be used.");
                ExitCode::SUCCESS
            }
            Err(error) => usage(&error),
        };
    }
    let options = RunOptions {
        plans_long_loads: args.rolling_weights,
    };
    match run(&path, options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => usage(&error),
    }
}

fn usage(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("mangowalkd machine: {error}");
    ExitCode::from(EXIT_USAGE)
}
