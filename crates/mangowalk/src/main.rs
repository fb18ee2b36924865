//! The operators' client of mangowalk.

use {mangowalk::cli, std::process::ExitCode};

fn main() -> ExitCode {
    cli::run()
}
