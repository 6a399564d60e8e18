//! One module for each command.

mod bench;
mod change;
mod check;
mod demo;
mod ledger;
mod replay;
mod role;
mod stand_ins;
mod status;

use std::{future::Future, net::SocketAddr, time::Duration};

use pondwalk_store::{Store, http_transport};

use crate::{exit::Exit, options::Options};

/// Longest time of one call to the store by an operator's command.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs what the user asked for.
pub fn run(options: Options) -> anyhow::Result<Exit> {
    match options {
        Options::Entry(settings) => role::entry(&settings),
        Options::Agent(settings) => role::agent(&settings),
        Options::Check(files) => check::run(&files),
        Options::Apply(options) => change::apply(&options),
        Options::Status(options) => status::run(&options),
        Options::RollOut(options) => change::roll_out(&options),
        Options::Withdraw(options) => change::withdraw(&options),
        Options::Ledger(options) => ledger::run(&options),
        Options::Replay(options) => replay::run(&options),
        Options::Demo(options) => demo::run(&options),
        Options::StandIns => stand_ins::run(),
        Options::Bench(options) => bench::run(&options),
    }
}

/// Runs a command's future on this thread.
fn block_on<T>(future: impl Future<Output = anyhow::Result<T>>) -> anyhow::Result<T> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(future)
}

fn store(address: SocketAddr) -> Store {
    Store::new(http_transport(address), STORE_TIMEOUT)
}
