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

use crate::{exit::Exit, options::AgentModeOptions};

/// Timeout of calls to the store by operators' commands.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs the selected command.
pub fn run(options: AgentModeOptions) -> anyhow::Result<Exit> {
    match options {
        AgentModeOptions::Entry(settings) => role::entry(&settings),
        AgentModeOptions::Agent(settings) => role::agent(&settings),
        AgentModeOptions::Apply(options) => change::apply(&options),
        AgentModeOptions::Status(options) => status::run(&options),
        AgentModeOptions::RollOut(options) => change::roll_out(&options),
        AgentModeOptions::Withdraw(options) => change::withdraw(&options),
        AgentModeOptions::Ledger(options) => ledger::run(&options),
        AgentModeOptions::Replay(options) => replay::run(&options),
        AgentModeOptions::Demo(options) => demo::run(&options),
        AgentModeOptions::StandIns => stand_ins::run(),
        AgentModeOptions::Bench(options) => bench::run(&options),
    }
}

/// Runs a command's future on the current thread.
fn block_on<T>(future: impl Future<Output = anyhow::Result<T>>) -> anyhow::Result<T> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(future)
}

fn store(address: SocketAddr) -> Store {
    Store::new(http_transport(address), STORE_TIMEOUT)
}
