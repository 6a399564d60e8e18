//! Options of `replay`.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, builder::PossibleValuesParser, value_parser};
use pondwalk_replay::PolicyName;

use super::{file, path};

/// Options of `replay`.
#[derive(Debug, Clone)]
pub struct ReplayOptions {
    /// Routing policy to replay with.
    pub policy: PolicyName,
    /// Seed of the policy's random numbers.
    pub seed: u64,
    /// Settings file.
    pub settings: PathBuf,
    /// File of expected outcomes, if any.
    pub outcomes: Option<PathBuf>,
    /// Trace file.
    pub trace: PathBuf,
}

pub fn command() -> Command {
    Command::new("replay")
        .about("Replay a recorded trace through the routing decisions, in virtual time")
        .after_help(
            "Example:\n  pondwalk replay --settings sample_configs/replay/franchise.ini trace.jsonl\n\n\
             Exit code 0 if all expected outcomes hold, 1 if one does not, 2 on bad input.",
        )
        .arg(
            Arg::new("policy")
                .long("policy")
                .value_name("NAME")
                .help("Routing policy")
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
        .arg(
            file("settings", "FILE.ini", "Settings of the replay")
                .long("settings")
                .required(true),
        )
        .arg(file("outcomes", "FILE.ini", "Outcomes to check after the run").long("outcomes"))
        .arg(file("trace", "TRACE.jsonl", "The trace").required(true))
}

pub fn options(matches: &ArgMatches) -> ReplayOptions {
    let policy = matches.get_one::<String>("policy").and_then(|name| PolicyName::parse(name));
    ReplayOptions {
        policy: policy.unwrap_or(PolicyName::Pondwalk),
        seed: matches.get_one("seed").copied().unwrap_or_default(),
        settings: path(matches, "settings"),
        outcomes: matches.get_one("outcomes").cloned(),
        trace: path(matches, "trace"),
    }
}
