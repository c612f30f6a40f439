//! Command-line client `cloverrack`.

use std::process::ExitCode;

mod cli;

fn main() -> ExitCode {
    cli::run(std::env::args_os().skip(1).collect())
}
