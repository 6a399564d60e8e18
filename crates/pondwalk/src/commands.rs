//! Commands of the program, one module each.

#[cfg(feature = "operate")]
mod agent_mode;
mod check;
#[cfg(feature = "platform")]
mod direct;

use crate::{exit::Exit, options::Options};

/// Runs the selected command.
pub fn run(options: Options) -> anyhow::Result<Exit> {
    // The other commands handle signals on their own, or not at all.
    #[cfg(feature = "platform")]
    if !matches!(options, Options::Direct(_)) {
        pondwalk_direct::signals::release();
    }
    match options {
        Options::Check(files) => check::run(&files),
        #[cfg(feature = "platform")]
        Options::Direct(settings) => direct::run(&settings),
        #[cfg(feature = "operate")]
        Options::AgentMode(options) => agent_mode::run(options),
    }
}
