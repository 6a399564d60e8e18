//! Commands of the deployment with agents.

mod bench;
mod change;
mod demo;
mod ledger;
mod replay;
mod role;
mod stand_ins;
mod status;

use std::{future::Future, net::SocketAddr, time::Duration};

use pondwalk_store::{Store, http_transport};

use crate::{exit::Exit, options::FullOptions};

/// Longest time of one call to the store by an operator's command.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs what the user asked for.
pub fn run(options: FullOptions) -> anyhow::Result<Exit> {
    match options {
        FullOptions::Entry(settings) => role::entry(&settings),
        FullOptions::Agent(settings) => role::agent(&settings),
        FullOptions::Apply(options) => change::apply(&options),
        FullOptions::Status(options) => status::run(&options),
        FullOptions::RollOut(options) => change::roll_out(&options),
        FullOptions::Withdraw(options) => change::withdraw(&options),
        FullOptions::Ledger(options) => ledger::run(&options),
        FullOptions::Replay(options) => replay::run(&options),
        FullOptions::Demo(options) => demo::run(&options),
        FullOptions::StandIns => stand_ins::run(),
        FullOptions::Bench(options) => bench::run(&options),
    }
}

/// Runs a command's future on this thread.
fn block_on<T>(future: impl Future<Output = anyhow::Result<T>>) -> anyhow::Result<T> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(future)
}

fn store(address: SocketAddr) -> Store {
    Store::new(http_transport(address), STORE_TIMEOUT)
}
