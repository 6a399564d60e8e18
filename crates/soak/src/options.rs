//! Command line of the soak.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use clap::{Arg, ArgMatches, Command as Clap, value_parser};

/// Default length of a run in seconds.
const DEFAULT_SECONDS: &str = "60";

/// Number of processes in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Size {
    /// Number of entries.
    pub entries: usize,
    /// Number of backend servers of each of the two services.
    pub servers: usize,
    /// Number of callers per entry.
    pub callers: usize,
}

impl Size {
    /// About a dozen processes.
    pub const SMALL: Size = Size { entries: 4, servers: 3, callers: 6 };
    /// About two hundred processes.
    pub const LARGE: Size = Size { entries: 150, servers: 24, callers: 2 };
}

/// Parameters of a run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Seed of the random numbers.
    pub seed: u64,
    /// Time during which callers send requests.
    pub length: Duration,
    /// Number of processes.
    pub size: Size,
    /// Folder for logs and settings.
    pub folder: PathBuf,
}

/// Command given on the command line.
#[derive(Debug)]
pub enum Command {
    /// Executes a run.
    Soak(Plan),
    /// Runs an entry.
    Entry {
        /// Path of the settings file.
        settings: PathBuf,
        /// Address at which the entry reaches the store, if it is not that of the settings.
        store: Option<SocketAddr>,
    },
    /// Runs the store.
    Store {
        /// Listen address.
        address: SocketAddr,
    },
    /// Runs a backend server.
    Server {
        /// Id of the server.
        id: String,
        /// Listen address.
        address: SocketAddr,
        /// Whether the server responds with streams.
        streams: bool,
    },
}

/// Returns the definition of the command line.
pub fn command() -> Clap {
    let address = || Arg::new("address").required(true).value_parser(value_parser!(SocketAddr));
    Clap::new("soak")
        .about("Runs the program under overlapping faults and checks its promises")
        .arg(
            Arg::new("seed").long("seed").default_value("1").value_parser(value_parser!(u64)).help(
                "Seed of the random numbers; the same seed gives the same schedule of faults",
            ),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .default_value(DEFAULT_SECONDS)
                .value_parser(value_parser!(u64).range(20..=3_600))
                .help("Time in seconds during which callers send requests"),
        )
        .arg(
            Arg::new("size")
                .long("size")
                .default_value("small")
                .value_parser(["small", "large"])
                .help("Number of processes: about a dozen, or two hundred"),
        )
        .arg(
            Arg::new("logs")
                .long("logs")
                .default_value("target/soak")
                .value_parser(value_parser!(PathBuf))
                .help("Folder for settings and logs, with a subfolder for each seed"),
        )
        .subcommand(
            Clap::new("entry")
                .hide(true)
                .arg(Arg::new("settings").required(true).value_parser(value_parser!(PathBuf)))
                .arg(Arg::new("store").value_parser(value_parser!(SocketAddr))),
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

/// Converts parsed arguments to a command.
pub fn parse(matches: &ArgMatches) -> Command {
    match matches.subcommand() {
        Some(("entry", entry)) => Command::Entry {
            settings: get(entry, "settings"),
            store: entry.get_one("store").copied(),
        },
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

/// Returns the value of an argument that is required or has a default.
fn get<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches.get_one::<T>(name).expect("the argument is required or has a default").clone()
}
