//! The mangowalk router.

use {mangowalkd::cli, std::process::ExitCode};

fn main() -> ExitCode {
    cli::run()
}
