//! `pondwalk check`: reports all faults of files, each with its section, its key and the expected value.

use std::path::PathBuf;

use anyhow::Context;
use pondwalk_config::{ConfigError, check_file};

use crate::exit::Exit;

/// Checks all files and prints the result for each.
///
/// # Errors
///
/// Returns the error of the last faulty file; errors of other files are printed.
pub fn run(files: &[PathBuf]) -> anyhow::Result<Exit> {
    let mut last: Option<ConfigError> = None;
    for file in files {
        match check_file(file) {
            Ok(kind) => println!("{}: good ({kind:?})", file.display()),
            Err(error) => {
                if let Some(previous) = last.replace(error) {
                    eprintln!("{previous}");
                }
            }
        }
    }
    match last {
        Some(error) => Err(error).context("some files have faults"),
        None => Ok(Exit::Success),
    }
}
