//! Options of the roles, the demo and the benchmark.

use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, builder::PossibleValuesParser, value_parser};
use pondwalk_demo::{bench::BenchPlan, day::DemoDeployment};

use super::file;

/// Options of `demo`.
#[derive(Debug, Clone)]
pub struct DemoOptions {
    /// Deployment whose day is simulated.
    pub deployment: DemoDeployment,
    /// Whether to inject faults instead of simulating a day.
    pub faults: bool,
}

/// Options of `bench`.
#[derive(Debug, Clone)]
pub struct BenchOptions {
    /// Load of the benchmark.
    pub plan: BenchPlan,
    /// Whether to print JSON.
    pub json: bool,
}

pub fn role_commands() -> [Command; 2] {
    let role = |name, about, example| {
        let settings = file("settings", "FILE.ini", "Settings of the process");
        Command::new(name)
            .about(about)
            .after_help(example)
            .arg(settings.long("settings").required(true))
    };
    [
        role(
            "entry",
            "Run an entry, the process that callers connect to",
            "Example:\n  pondwalk entry --settings sample_configs/franchise/entry.ini",
        ),
        role(
            "agent",
            "Run an agent, the sidecar process of one backend server",
            "Example:\n  pondwalk agent --settings sample_configs/franchise/agent.ini",
        ),
    ]
}

pub fn trial_commands() -> [Command; 3] {
    [demo_command(), bench_command(), stand_ins_command()]
}

fn demo_command() -> Command {
    Command::new("demo")
        .about("Simulate a deployment's day on loopback with stand-ins, and check the promises")
        .after_help("Examples:\n  pondwalk demo --deployment association\n  pondwalk demo --faults")
        .arg(
            Arg::new("faults")
                .long("faults")
                .help("Inject faults instead of simulating a day, and check the promises")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("deployment")
                .long("deployment")
                .value_name("NAME")
                .help("Deployment whose day is simulated")
                .value_parser(PossibleValuesParser::new(["franchise", "association"]))
                .default_value("franchise"),
        )
}

fn stand_ins_command() -> Command {
    Command::new("stand-ins")
        .about(
            "Run stand-ins of the systems that pondwalk depends on, at the addresses of sample_configs/local",
        )
        .after_help("Example:\n  pondwalk stand-ins")
}

fn bench_command() -> Command {
    Command::new("bench")
        .about("Send the same load to a stand-in engine directly and through entry and agent")
        .after_help("Example:\n  pondwalk bench --rate 500 --seconds 10")
        .arg(number("rate", "N", "Requests per second", "500"))
        .arg(number("seconds", "N", "Seconds of load for each path", "10"))
        .arg(number("tokens", "N", "Tokens per answer", "20"))
        .arg(number("token-ms", "N", "Milliseconds between tokens", "5"))
        .arg(json_flag())
}

fn number(id: &'static str, name: &'static str, help: &'static str, default: &'static str) -> Arg {
    Arg::new(id)
        .long(id)
        .value_name(name)
        .help(help)
        .value_parser(value_parser!(u32).range(1..=100_000))
        .default_value(default)
}

pub fn json_flag() -> Arg {
    Arg::new("json").long("json").help("Print JSON").action(ArgAction::SetTrue)
}

pub fn demo(matches: &ArgMatches) -> DemoOptions {
    let association =
        matches.get_one::<String>("deployment").is_some_and(|name| name == "association");
    let deployment =
        if association { DemoDeployment::Association } else { DemoDeployment::Franchise };
    DemoOptions { deployment, faults: matches.get_flag("faults") }
}

pub fn bench(matches: &ArgMatches) -> BenchOptions {
    let number = |id| matches.get_one::<u32>(id).copied().unwrap_or(1);
    let plan = BenchPlan {
        rate: f64::from(number("rate")),
        length: Duration::from_secs(number("seconds").into()),
        tokens: number("tokens").into(),
        token: Duration::from_millis(number("token-ms").into()),
    };
    BenchOptions { plan, json: matches.get_flag("json") }
}
