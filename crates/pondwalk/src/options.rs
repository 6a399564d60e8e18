//! Command-line parsing.

#[cfg(feature = "operate")]
mod agent_mode;
#[cfg(feature = "operate")]
mod operate;
#[cfg(feature = "operate")]
mod replay;
#[cfg(feature = "operate")]
mod run;

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};

#[cfg(feature = "operate")]
pub use agent_mode::AgentModeOptions;
#[cfg(feature = "operate")]
pub use operate::{
    ApplyOptions, ChangeOptions, LedgerOptions, RollOutOptions, StatusOptions, WithdrawOptions,
};
#[cfg(feature = "operate")]
pub use replay::ReplayOptions;
#[cfg(feature = "operate")]
pub use run::{BenchOptions, DemoOptions};

/// The selected command with its options.
#[derive(Debug, Clone)]
pub enum Options {
    /// Run an entry that reaches backend servers directly, with these settings.
    #[cfg(feature = "platform")]
    Direct(PathBuf),
    /// Check these files.
    Check(Vec<PathBuf>),
    /// A command of the deployment with agents.
    #[cfg(feature = "operate")]
    AgentMode(AgentModeOptions),
}

/// Parses the program's arguments; `clap` exits on `--help` and on invalid arguments.
pub fn parse() -> Options {
    from_matches(&command().get_matches())
}

/// The definition of the command line.
pub fn command() -> Command {
    let command = Command::new("pondwalk")
        .version(clap::crate_version!())
        .about("A model-aware router between callers and language-model backend servers")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(check_command());
    #[cfg(feature = "platform")]
    let command = command.subcommand(direct_command());
    #[cfg(feature = "operate")]
    let command = command.subcommands(agent_mode::commands());
    command
}

fn check_command() -> Command {
    Command::new("check")
        .about("Check settings, policy and outcome files; exit code 2 if any has a fault")
        .after_help("Example:\n  pondwalk check sample_configs/franchise/*.ini")
        .arg(file("files", "FILE", "Files to check").num_args(1..).required(true))
}

#[cfg(feature = "platform")]
fn direct_command() -> Command {
    let settings = file("settings", "FILE.ini", "Settings of the process");
    Command::new("direct")
        .about("Run an entry that reaches backend servers directly")
        .after_help("Example:\n  pondwalk direct --settings sample_configs/platform/direct.ini")
        .arg(
            settings.long("settings").env(pondwalk_platform::SETTINGS_PATH_VARIABLE).required(true),
        )
}

fn file(id: &'static str, name: &'static str, help: &'static str) -> Arg {
    Arg::new(id).value_name(name).help(help).value_parser(value_parser!(PathBuf))
}

#[cfg(any(feature = "operate", feature = "platform"))]
fn path(matches: &ArgMatches, id: &str) -> PathBuf {
    matches.get_one(id).cloned().unwrap_or_default()
}

fn from_matches(matches: &ArgMatches) -> Options {
    match matches.subcommand() {
        Some(("check", matches)) => {
            let files = matches.get_many::<PathBuf>("files").into_iter().flatten();
            Options::Check(files.cloned().collect())
        }
        #[cfg(feature = "platform")]
        Some(("direct", matches)) => Options::Direct(path(matches, "settings")),
        #[cfg(feature = "operate")]
        Some((name, matches)) => Options::AgentMode(agent_mode::options(name, matches)),
        _ => unreachable!("a subcommand is required, and all are handled"),
    }
}
