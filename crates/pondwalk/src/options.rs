//! The command line, parsed and checked.

mod operate;
mod replay;
mod run;

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};

pub use operate::{
    ApplyOptions, ChangeOptions, LedgerOptions, RollOutOptions, StatusOptions, WithdrawOptions,
};
pub use replay::ReplayOptions;
pub use run::{BenchOptions, DemoOptions};

/// What the user asked for.
#[derive(Debug, Clone)]
pub enum Options {
    /// Run an entry with these settings.
    Entry(PathBuf),
    /// Run an agent with these settings.
    Agent(PathBuf),
    /// Check files.
    Check(Vec<PathBuf>),
    /// Make a policy the next generation.
    Apply(ApplyOptions),
    /// Show what is in force.
    Status(StatusOptions),
    /// Start a roll-out.
    RollOut(RollOutOptions),
    /// Withdraw a version.
    Withdraw(WithdrawOptions),
    /// List and total the bills.
    Ledger(LedgerOptions),
    /// Replay a trace.
    Replay(ReplayOptions),
    /// Play a day on stand-ins.
    Demo(DemoOptions),
    /// Run stand-ins of the systems around pondwalk, to try it by hand.
    StandIns,
    /// Measure what the way through entry and agent adds.
    Bench(BenchOptions),
}

/// Parses the program's arguments; `clap` itself ends the program on `--help` and on misuse.
pub fn parse() -> Options {
    from_matches(&command().get_matches())
}

/// The whole command line.
pub fn command() -> Command {
    Command::new("pondwalk")
        .version(clap::crate_version!())
        .about("A model-aware router for versions and cascades")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands(run::role_commands())
        .subcommand(check_command())
        .subcommands(operate::commands())
        .subcommand(replay::command())
        .subcommands(run::trial_commands())
}

fn check_command() -> Command {
    Command::new("check")
        .about("Check settings, policy and outcome files; exit code 2 if any has a fault")
        .after_help("Example:\n  pondwalk check sample_configs/franchise/*.ini")
        .arg(file("files", "FILE", "Files to check").num_args(1..).required(true))
}

fn file(id: &'static str, name: &'static str, help: &'static str) -> Arg {
    Arg::new(id).value_name(name).help(help).value_parser(value_parser!(PathBuf))
}

fn path(matches: &ArgMatches, id: &str) -> PathBuf {
    matches.get_one(id).cloned().unwrap_or_default()
}

fn from_matches(matches: &ArgMatches) -> Options {
    match matches.subcommand() {
        Some(("entry", matches)) => Options::Entry(path(matches, "settings")),
        Some(("agent", matches)) => Options::Agent(path(matches, "settings")),
        Some(("check", matches)) => {
            let files = matches.get_many::<PathBuf>("files").into_iter().flatten();
            Options::Check(files.cloned().collect())
        }
        Some(("apply", matches)) => Options::Apply(operate::apply(matches)),
        Some(("status", matches)) => Options::Status(operate::status(matches)),
        Some(("roll-out", matches)) => Options::RollOut(operate::roll_out(matches)),
        Some(("withdraw", matches)) => Options::Withdraw(operate::withdraw(matches)),
        Some(("ledger", matches)) => Options::Ledger(operate::ledger(matches)),
        Some(("replay", matches)) => Options::Replay(replay::options(matches)),
        Some(("demo", matches)) => Options::Demo(run::demo(matches)),
        Some(("stand-ins", _)) => Options::StandIns,
        Some(("bench", matches)) => Options::Bench(run::bench(matches)),
        _ => unreachable!("a subcommand is required and all are listed"),
    }
}
