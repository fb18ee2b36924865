//! Command-line client for operators of mangowalk.

use {mangowalk::cli, std::process::ExitCode};

fn main() -> ExitCode {
    cli::run()
}
