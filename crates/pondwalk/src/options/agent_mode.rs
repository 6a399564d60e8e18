//! Commands of the deployment with agents, and of its trials.

use std::path::PathBuf;

use clap::{ArgMatches, Command};

use super::{
    ApplyOptions, BenchOptions, DemoOptions, LedgerOptions, ReplayOptions, RollOutOptions,
    StatusOptions, WithdrawOptions, operate, path, replay, run,
};

/// What the user asked for.
#[derive(Debug, Clone)]
pub enum FullOptions {
    /// Run an entry with these settings.
    Entry(PathBuf),
    /// Run an agent with these settings.
    Agent(PathBuf),
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

/// All of these commands.
pub fn commands() -> Vec<Command> {
    let mut commands = run::role_commands().to_vec();
    commands.extend(operate::commands());
    commands.push(replay::command());
    commands.extend(run::trial_commands());
    commands
}

/// Reads the command called `name`.
pub fn options(name: &str, matches: &ArgMatches) -> FullOptions {
    match name {
        "entry" => FullOptions::Entry(path(matches, "settings")),
        "agent" => FullOptions::Agent(path(matches, "settings")),
        "apply" => FullOptions::Apply(operate::apply(matches)),
        "status" => FullOptions::Status(operate::status(matches)),
        "roll-out" => FullOptions::RollOut(operate::roll_out(matches)),
        "withdraw" => FullOptions::Withdraw(operate::withdraw(matches)),
        "ledger" => FullOptions::Ledger(operate::ledger(matches)),
        "replay" => FullOptions::Replay(replay::options(matches)),
        "demo" => FullOptions::Demo(run::demo(matches)),
        "stand-ins" => FullOptions::StandIns,
        "bench" => FullOptions::Bench(run::bench(matches)),
        _ => unreachable!("all commands are listed"),
    }
}
