//! One module for each command.

mod check;
#[cfg(feature = "platform")]
mod direct;
#[cfg(feature = "operate")]
mod full;

use crate::{exit::Exit, options::Options};

/// Runs what the user asked for.
pub fn run(options: Options) -> anyhow::Result<Exit> {
    match options {
        Options::Check(files) => check::run(&files),
        #[cfg(feature = "platform")]
        Options::Direct(settings) => direct::run(&settings),
        #[cfg(feature = "operate")]
        Options::Full(options) => full::run(options),
    }
}
