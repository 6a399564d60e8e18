//! The `pondwalk` program: parses the command line and runs a command.

mod commands;
mod exit;
mod options;
#[cfg(feature = "operate")]
mod telemetry;

use std::process::ExitCode;

fn main() -> ExitCode {
    #[cfg(feature = "platform")]
    pondwalk_direct::signals::hold();
    match commands::run(options::parse()) {
        Ok(exit) => exit.into(),
        Err(error) => exit::report(&error),
    }
}
