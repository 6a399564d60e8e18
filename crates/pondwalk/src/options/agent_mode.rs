//! Commands of deployments with agents, and of local tests.

use std::path::PathBuf;

use clap::{ArgMatches, Command};

use super::{
    ApplyOptions, BenchOptions, DemoOptions, LedgerOptions, ReplayOptions, RollOutOptions,
    StatusOptions, WithdrawOptions, operate, path, replay, run,
};

/// The selected command with its options.
#[derive(Debug, Clone)]
pub enum AgentModeOptions {
    /// Run an entry with these settings.
    Entry(PathBuf),
    /// Run an agent with these settings.
    Agent(PathBuf),
    /// Commit a policy as the next generation.
    Apply(ApplyOptions),
    /// Show the configuration in force.
    Status(StatusOptions),
    /// Start a roll-out.
    RollOut(RollOutOptions),
    /// Withdraw a version.
    Withdraw(WithdrawOptions),
    /// List and total the bills.
    Ledger(LedgerOptions),
    /// Replay a trace.
    Replay(ReplayOptions),
    /// Simulate a day on stand-in systems.
    Demo(DemoOptions),
    /// Run stand-ins of the systems that pondwalk depends on.
    StandIns,
    /// Measure the overhead of entry and agent.
    Bench(BenchOptions),
}

/// Definitions of the commands.
pub fn commands() -> Vec<Command> {
    let mut commands = run::role_commands().to_vec();
    commands.extend(operate::commands());
    commands.push(replay::command());
    commands.extend(run::trial_commands());
    commands
}

/// Converts the matches of the command `name` to its options.
pub fn options(name: &str, matches: &ArgMatches) -> AgentModeOptions {
    match name {
        "entry" => AgentModeOptions::Entry(path(matches, "settings")),
        "agent" => AgentModeOptions::Agent(path(matches, "settings")),
        "apply" => AgentModeOptions::Apply(operate::apply(matches)),
        "status" => AgentModeOptions::Status(operate::status(matches)),
        "roll-out" => AgentModeOptions::RollOut(operate::roll_out(matches)),
        "withdraw" => AgentModeOptions::Withdraw(operate::withdraw(matches)),
        "ledger" => AgentModeOptions::Ledger(operate::ledger(matches)),
        "replay" => AgentModeOptions::Replay(replay::options(matches)),
        "demo" => AgentModeOptions::Demo(run::demo(matches)),
        "stand-ins" => AgentModeOptions::StandIns,
        "bench" => AgentModeOptions::Bench(run::bench(matches)),
        _ => unreachable!("all commands are handled"),
    }
}
