//! Options of the operators' commands.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use pondwalk_types::VersionId;

use super::{file, path, run::json_flag};

/// Common options of commands that change the configuration.
#[derive(Debug, Clone)]
pub struct ChangeOptions {
    /// Address of the platform's key-value store.
    pub store: SocketAddr,
    /// Address of the list of instances, if the command waits until the change is in force.
    pub wait_for: Option<SocketAddr>,
    /// Longest wait.
    pub wait_limit: Duration,
    /// Whether to print JSON.
    pub json: bool,
}

/// Options of `apply`.
#[derive(Debug, Clone)]
pub struct ApplyOptions {
    /// Common options.
    pub change: ChangeOptions,
    /// Policy file.
    pub policy: PathBuf,
    /// Versions whose withdrawal the policy may undo.
    pub reinstate: Vec<VersionId>,
}

/// Options of `roll-out`.
#[derive(Debug, Clone)]
pub struct RollOutOptions {
    /// Common options.
    pub change: ChangeOptions,
    /// The new version.
    pub version: VersionId,
    /// The old version.
    pub replaces: VersionId,
}

/// Options of `withdraw`.
#[derive(Debug, Clone)]
pub struct WithdrawOptions {
    /// Common options.
    pub change: ChangeOptions,
    /// The version to withdraw.
    pub version: VersionId,
}

/// Options of `status`.
#[derive(Debug, Clone)]
pub struct StatusOptions {
    /// Address of the platform's key-value store.
    pub store: SocketAddr,
    /// Address of the list of instances, if the processes are queried too.
    pub instances: Option<SocketAddr>,
    /// Whether to print JSON.
    pub json: bool,
}

/// Options of `ledger`.
#[derive(Debug, Clone)]
pub struct LedgerOptions {
    /// Address of the platform's key-value store.
    pub store: SocketAddr,
    /// Whether to list each bill.
    pub list: bool,
    /// Whether to print JSON.
    pub json: bool,
}

pub fn commands() -> [Command; 5] {
    [
        apply_command(),
        status_command(),
        change(Command::new("roll-out"))
            .about("Start a roll-out, in which a new version gradually replaces an old one")
            .after_help("Example:\n  pondwalk roll-out --store 127.0.0.1:2379 medium/3 --replaces medium/2")
            .arg(version("version", "The new version"))
            .arg(version("replaces", "The old version").long("replaces")),
        change(Command::new("withdraw"))
            .about("Withdraw a version, so that it accepts no new requests")
            .after_help("Example:\n  pondwalk withdraw --store 127.0.0.1:2379 medium/3 --wait --instances 127.0.0.1:2400")
            .arg(version("version", "The version")),
        Command::new("ledger")
            .about("Total the bills by workspace and version")
            .after_help("Example:\n  pondwalk ledger --store 127.0.0.1:2379 --list")
            .arg(store())
            .arg(Arg::new("list").long("list").help("List each bill").action(ArgAction::SetTrue))
            .arg(json_flag()),
    ]
}

fn apply_command() -> Command {
    change(Command::new("apply"))
        .about("Commit a policy file as the next generation, and print its number")
        .after_help(
            "Example:\n  pondwalk apply --store 127.0.0.1:2379 sample_configs/franchise/policy.ini\n\n\
             Exit code 0 if accepted, 1 if rejected or not in force in time, 2 if the file has a fault.",
        )
        .arg(file("policy", "POLICY.ini", "The policy").required(true))
        .arg(
            Arg::new("reinstate")
                .long("reinstate")
                .value_name("MODEL/VERSION")
                .help("Undo the withdrawal of a version")
                .action(ArgAction::Append),
        )
}

fn status_command() -> Command {
    Command::new("status")
        .about("Show the configuration in force and the state of each process")
        .after_help(
            "Example:\n  pondwalk status --store 127.0.0.1:2379 --instances 127.0.0.1:2400 --json",
        )
        .arg(store())
        .arg(instances())
        .arg(json_flag())
}

/// Adds the common options of commands that change the configuration.
fn change(command: Command) -> Command {
    command
        .arg(store())
        .arg(instances())
        .arg(
            Arg::new("wait")
                .long("wait")
                .help("Wait until the change is in force at every live process")
                .requires("instances")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("wait-ms")
                .long("wait-ms")
                .value_name("N")
                .help("Longest wait in milliseconds")
                .value_parser(value_parser!(u64).range(1..=600_000))
                .default_value("18000"),
        )
        .arg(json_flag())
}

fn store() -> Arg {
    address("store", "Address of the platform's key-value store").required(true)
}

fn instances() -> Arg {
    address("instances", "Address of the platform's list of instances")
}

fn address(id: &'static str, help: &'static str) -> Arg {
    Arg::new(id).long(id).value_name("IP:PORT").help(help).value_parser(value_parser!(SocketAddr))
}

fn version(id: &'static str, help: &'static str) -> Arg {
    Arg::new(id).value_name("MODEL/VERSION").help(help).required(true)
}

fn change_options(matches: &ArgMatches) -> ChangeOptions {
    let wait = matches.get_flag("wait");
    let wait_ms = matches.get_one("wait-ms").copied().unwrap_or_default();
    ChangeOptions {
        store: socket(matches, "store"),
        wait_for: matches.get_one("instances").copied().filter(|_| wait),
        wait_limit: Duration::from_millis(wait_ms),
        json: matches.get_flag("json"),
    }
}

fn socket(matches: &ArgMatches, id: &str) -> SocketAddr {
    let unset = SocketAddr::from(([0, 0, 0, 0], 0));
    matches.get_one(id).copied().unwrap_or(unset)
}

fn text(matches: &ArgMatches, id: &str) -> String {
    matches.get_one::<String>(id).cloned().unwrap_or_default()
}

pub fn apply(matches: &ArgMatches) -> ApplyOptions {
    let reinstate = matches.get_many::<String>("reinstate").into_iter().flatten();
    ApplyOptions {
        change: change_options(matches),
        policy: path(matches, "policy"),
        reinstate: reinstate.cloned().collect(),
    }
}

pub fn roll_out(matches: &ArgMatches) -> RollOutOptions {
    RollOutOptions {
        change: change_options(matches),
        version: text(matches, "version"),
        replaces: text(matches, "replaces"),
    }
}

pub fn withdraw(matches: &ArgMatches) -> WithdrawOptions {
    WithdrawOptions { change: change_options(matches), version: text(matches, "version") }
}

pub fn status(matches: &ArgMatches) -> StatusOptions {
    StatusOptions {
        store: socket(matches, "store"),
        instances: matches.get_one("instances").copied(),
        json: matches.get_flag("json"),
    }
}

pub fn ledger(matches: &ArgMatches) -> LedgerOptions {
    LedgerOptions {
        store: socket(matches, "store"),
        list: matches.get_flag("list"),
        json: matches.get_flag("json"),
    }
}
