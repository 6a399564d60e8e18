//! Exit codes and error output.

use std::process::ExitCode;

use pondwalk_config::ConfigError;
#[cfg(feature = "operate")]
use pondwalk_replay::TraceError;

/// Result of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Success,
    /// The command completed, but a check failed.
    CheckFailed,
}

/// Exit code for bad input.
const BAD_INPUT: u8 = 2;

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        match exit {
            Exit::Success => ExitCode::SUCCESS,
            Exit::CheckFailed => ExitCode::FAILURE,
        }
    }
}

/// Prints an error and returns its exit code: 2 for bad input, 1 otherwise.
pub fn report(error: &anyhow::Error) -> ExitCode {
    eprintln!("{error:#}");
    if is_bad_input(error) { ExitCode::from(BAD_INPUT) } else { ExitCode::FAILURE }
}

#[cfg(feature = "operate")]
fn is_bad_input(error: &anyhow::Error) -> bool {
    error.is::<ConfigError>() || error.is::<TraceError>()
}

#[cfg(not(feature = "operate"))]
fn is_bad_input(error: &anyhow::Error) -> bool {
    error.is::<ConfigError>()
}
