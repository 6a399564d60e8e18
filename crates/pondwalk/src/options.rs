//! The command line, parsed and checked.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, builder::PossibleValuesParser, value_parser};
use pondwalk_replay::PolicyName;

/// What the user asked for.
#[derive(Debug, Clone)]
pub enum Options {
    /// Check files.
    Check(Vec<PathBuf>),
    /// Replay a trace.
    Replay(ReplayOptions),
}

/// Options of `replay`.
#[derive(Debug, Clone)]
pub struct ReplayOptions {
    /// Which policy decides.
    pub policy: PolicyName,
    /// Seed of the policy's random numbers.
    pub seed: u64,
    /// Settings.
    pub settings: PathBuf,
    /// Stated outcomes, if any.
    pub outcomes: Option<PathBuf>,
    /// The trace.
    pub trace: PathBuf,
}

/// Parses the program's arguments; `clap` itself ends the program on `--help` and on misuse.
pub fn parse() -> anyhow::Result<Options> {
    from_matches(&command().get_matches())
}

fn command() -> Command {
    Command::new("pondwalk")
        .version(clap::crate_version!())
        .about("A model-aware router for versions and cascades")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(check_command())
        .subcommand(replay_command())
}

fn check_command() -> Command {
    Command::new("check")
        .about("Check settings, policy and outcome files; exit code 2 if any has a fault")
        .after_help("Example:\n  pondwalk check sample_configs/franchise/*.ini")
        .arg(
            file("files", "FILE", "Files to check")
                .num_args(1..)
                .required(true),
        )
}

fn replay_command() -> Command {
    Command::new("replay")
        .about("Replay a recorded trace through the decision code, in virtual time")
        .after_help(
            "Example:\n  pondwalk replay --settings sample_configs/replay/franchise.ini trace.jsonl\n\n\
             Exit code 0 when all stated outcomes hold, 1 when one does not, 2 on bad input.",
        )
        .arg(
            Arg::new("policy")
                .long("policy")
                .value_name("NAME")
                .help("Policy that decides")
                .value_parser(PossibleValuesParser::new(PolicyName::NAMES))
                .default_value(PolicyName::NAMES[0]),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .help("Seed of the policy's random numbers")
                .value_parser(value_parser!(u64))
                .default_value("1"),
        )
        .arg(file("settings", "FILE.ini", "Settings of the replay").long("settings").required(true))
        .arg(file("outcomes", "FILE.ini", "Outcomes to check after the run").long("outcomes"))
        .arg(file("trace", "TRACE.jsonl", "The trace").required(true))
}

fn file(id: &'static str, name: &'static str, help: &'static str) -> Arg {
    Arg::new(id)
        .value_name(name)
        .help(help)
        .value_parser(value_parser!(PathBuf))
}

fn from_matches(matches: &ArgMatches) -> anyhow::Result<Options> {
    match matches.subcommand() {
        Some(("check", matches)) => {
            let files = matches.get_many::<PathBuf>("files").into_iter().flatten();
            Ok(Options::Check(files.cloned().collect()))
        }
        Some(("replay", matches)) => Ok(Options::Replay(replay_options(matches))),
        _ => unreachable!("a subcommand is required and all are listed"),
    }
}

fn replay_options(matches: &ArgMatches) -> ReplayOptions {
    let policy = matches
        .get_one::<String>("policy")
        .and_then(|name| PolicyName::parse(name));
    let path = |id| matches.get_one::<PathBuf>(id).cloned();
    ReplayOptions {
        policy: policy.unwrap_or(PolicyName::Pondwalk),
        seed: matches.get_one("seed").copied().unwrap_or_default(),
        settings: path("settings").unwrap_or_default(),
        outcomes: path("outcomes"),
        trace: path("trace").unwrap_or_default(),
    }
}
