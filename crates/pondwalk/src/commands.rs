//! One module for each command.

mod check;
mod replay;

use crate::{exit::Exit, options::Options};

/// Runs what the user asked for.
pub fn run(options: Options) -> anyhow::Result<Exit> {
    match options {
        Options::Check(files) => check::run(&files),
        Options::Replay(options) => replay::run(&options),
    }
}
