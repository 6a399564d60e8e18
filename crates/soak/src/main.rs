//! Runs the soak, or one of its child processes.

use std::process::ExitCode;

use pondwalk_direct::signals;
use pondwalk_soak::{
    options::{Command, command, parse},
    roles, soak,
};

fn main() -> ExitCode {
    signals::hold();
    let command = parse(&command().get_matches());
    if !matches!(command, Command::Entry { .. }) {
        signals::release();
    }
    let done = match command {
        Command::Entry { settings, store } => roles::entry(&settings, store).map(|()| true),
        Command::Store { address } => roles::store(address).map(|()| true),
        Command::Server { id, address, streams } => {
            roles::server(id, address, streams).map(|()| true)
        }
        Command::Soak(plan) => soak::run(&plan),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("soak: {error:#}");
            ExitCode::from(2)
        }
    }
}
