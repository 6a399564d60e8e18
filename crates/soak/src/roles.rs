//! Child processes of a run.

use std::{net::SocketAddr, path::Path, process, thread, time::Duration};

use anyhow::Context;
use nix::unistd::getppid;
use pondwalk_config::{DirectSettings, RawFile};
use pondwalk_inbound::BufferPool;
use pondwalk_standin::{
    backends::Behaviour, memory_store::MemoryStore, platform_server, platform_store,
};
use tokio::{net::TcpListener, runtime::Builder, task::LocalSet};

/// Number of events in a stream.
pub const EVENTS: u32 = 8;
/// Time between two events of a stream.
const EVENT_GAP: Duration = Duration::from_millis(40);

/// Polling interval for the exit of the parent process.
const PARENT_POLL: Duration = Duration::from_secs(1);

/// Exits this process soon after its parent, also if the parent was killed.
fn exit_with_parent() {
    let parent = getppid();
    thread::spawn(move || {
        while getppid() == parent {
            thread::sleep(PARENT_POLL);
        }
        process::exit(1);
    });
}

/// Runs an entry as in production until it receives a stop signal. It reaches the store at `store`, if
/// that is not the address by which the entries know it.
pub fn entry(settings: &Path, store: Option<SocketAddr>) -> anyhow::Result<()> {
    exit_with_parent();
    let settings = DirectSettings::try_from(RawFile::load(settings)?)?;
    let port = pondwalk_platform::port(
        store.unwrap_or(settings.store.address),
        settings.store.timeout,
        settings.usage.map(|usage| usage.address),
        BufferPool::new(settings.inbound.control_bytes),
    );
    pondwalk_direct::run(settings, pondwalk_platform::dialect(), port)?;
    Ok(())
}

/// Runs the stand-in store.
pub fn store(address: SocketAddr) -> anyhow::Result<()> {
    run_on_current_thread(async move {
        let listener =
            TcpListener::bind(address).await.context("cannot bind the store's address")?;
        Ok(platform_store::serve(MemoryStore::default(), listener).await?)
    })
}

/// Runs a stand-in backend server.
pub fn server(id: String, address: SocketAddr, streams: bool) -> anyhow::Result<()> {
    let stream = Behaviour::Stream { last: EVENTS, gap: EVENT_GAP, confidence: None, cut_in: None };
    let behaviour = if streams { stream } else { Behaviour::Echo };
    run_on_current_thread(async move {
        let listener =
            TcpListener::bind(address).await.context("cannot bind the server's address")?;
        Ok(platform_server::serve(id, behaviour, listener).await?)
    })
}

fn run_on_current_thread(work: impl Future<Output = anyhow::Result<()>>) -> anyhow::Result<()> {
    exit_with_parent();
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, work)
}
