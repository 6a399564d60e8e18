//! `pondwalk check`: every fault of every file, with its place and what was expected.

use std::path::PathBuf;

use anyhow::Context;
use pondwalk_config::{ConfigError, check_file};

use crate::exit::Exit;

/// Checks all files; fails with the first fault's type after printing the others.
pub fn run(files: &[PathBuf]) -> anyhow::Result<Exit> {
    let mut last: Option<ConfigError> = None;
    for file in files {
        match check_file(file) {
            Ok(kind) => println!("{}: good ({kind:?})", file.display()),
            Err(error) => {
                if let Some(before) = last.replace(error) {
                    eprintln!("{before}");
                }
            }
        }
    }
    match last {
        Some(error) => Err(error).context("some files have faults"),
        None => Ok(Exit::Success),
    }
}
