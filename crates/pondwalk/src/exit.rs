//! Exit codes, and how failures are shown.

use std::process::ExitCode;

use pondwalk_config::ConfigError;
#[cfg(feature = "operate")]
use pondwalk_replay::TraceError;

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// All went well.
    Success,
    /// The command ran, and what it checked does not hold.
    Unmet,
}

/// Exit code for bad input.
const BAD_INPUT: u8 = 2;

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        match exit {
            Exit::Success => ExitCode::SUCCESS,
            Exit::Unmet => ExitCode::FAILURE,
        }
    }
}

/// Prints a failure and gives its exit code: 2 for bad input, 1 for all else.
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
