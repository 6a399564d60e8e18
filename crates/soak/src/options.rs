//! The command line.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use clap::{Arg, ArgMatches, Command as Clap, value_parser};

/// Seconds that a run lasts where nothing else is said.
const DEFAULT_SECONDS: &str = "60";

/// How many processes a run has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// Entries.
    pub entries: usize,
    /// Backend servers of each of the two services.
    pub servers: usize,
    /// Callers at each entry.
    pub callers: usize,
}

impl Size {
    /// A dozen processes.
    pub const SMALL: Size = Size { entries: 4, servers: 3, callers: 6 };
    /// Two hundred processes.
    pub const LARGE: Size = Size { entries: 150, servers: 24, callers: 2 };
}

/// One run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Start of all random numbers.
    pub seed: u64,
    /// How long callers come.
    pub length: Duration,
    /// How many processes there are.
    pub size: Size,
    /// Folder for logs and settings.
    pub folder: PathBuf,
}

/// What is to be done.
#[derive(Debug)]
pub enum Command {
    /// A run.
    Soak(Plan),
    /// One entry.
    Entry {
        /// Path of its settings.
        settings: PathBuf,
    },
    /// The store.
    Store {
        /// Where it listens.
        address: SocketAddr,
    },
    /// One backend server.
    Server {
        /// Its identity.
        id: String,
        /// Where it listens.
        address: SocketAddr,
        /// Whether it answers with streams.
        streams: bool,
    },
}

/// The command line's form.
pub fn command() -> Clap {
    let address = || Arg::new("address").required(true).value_parser(value_parser!(SocketAddr));
    Clap::new("soak")
        .about("Plays the program under overlapping faults and checks what it promises")
        .arg(
            Arg::new("seed").long("seed").default_value("1").value_parser(value_parser!(u64)).help(
                "Start of all random numbers; the same seed gives the same schedule of faults",
            ),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .default_value(DEFAULT_SECONDS)
                .value_parser(value_parser!(u64).range(20..=3_600))
                .help("How long callers come"),
        )
        .arg(
            Arg::new("size")
                .long("size")
                .default_value("small")
                .value_parser(["small", "large"])
                .help("A dozen processes, or two hundred"),
        )
        .arg(
            Arg::new("logs")
                .long("logs")
                .default_value("target/soak")
                .value_parser(value_parser!(PathBuf))
                .help("Folder for settings and logs; each seed has one of its own in it"),
        )
        .subcommand(
            Clap::new("entry")
                .hide(true)
                .arg(Arg::new("settings").required(true).value_parser(value_parser!(PathBuf))),
        )
        .subcommand(Clap::new("store").hide(true).arg(address()))
        .subcommand(
            Clap::new("server")
                .hide(true)
                .arg(Arg::new("id").required(true))
                .arg(address())
                .arg(Arg::new("kind").required(true).value_parser(["plain", "streams"])),
        )
}

/// Reads what the command line says.
pub fn parse(matches: &ArgMatches) -> Command {
    match matches.subcommand() {
        Some(("entry", entry)) => Command::Entry { settings: get(entry, "settings") },
        Some(("store", store)) => Command::Store { address: get(store, "address") },
        Some(("server", server)) => Command::Server {
            id: get(server, "id"),
            address: get(server, "address"),
            streams: get::<String>(server, "kind") == "streams",
        },
        _ => Command::Soak(plan(matches)),
    }
}

fn plan(matches: &ArgMatches) -> Plan {
    let seed = get(matches, "seed");
    let is_large = get::<String>(matches, "size") == "large";
    Plan {
        seed,
        length: Duration::from_secs(get(matches, "seconds")),
        size: if is_large { Size::LARGE } else { Size::SMALL },
        folder: get::<PathBuf>(matches, "logs").join(format!("seed-{seed}")),
    }
}

/// A value that is required or has a default.
fn get<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches.get_one::<T>(name).expect("required, or with a default").clone()
}
