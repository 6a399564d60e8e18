//! The `pondwalk` program: reads the command line and hands over to one command.

mod commands;
mod exit;
mod options;

use std::process::ExitCode;

fn main() -> ExitCode {
    match options::parse().and_then(commands::run) {
        Ok(exit) => exit.into(),
        Err(error) => exit::report(&error),
    }
}
