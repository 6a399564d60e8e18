//! The processes of a run beside the soak itself.

use std::{net::SocketAddr, path::Path, process, thread, time::Duration};

use anyhow::Context;
use nix::unistd::getppid;
use pondwalk_config::{DirectSettings, RawFile};
use pondwalk_standin::{
    backends::Behaviour, memory_store::MemoryStore, platform_server, platform_store,
};
use tokio::{net::TcpListener, runtime::Builder, task::LocalSet};

/// Events of a stream.
pub const EVENTS: u32 = 8;
/// Time between two of them.
const EVENT_GAP: Duration = Duration::from_millis(40);

/// Time between two looks at whether the soak still runs.
const PARENT_LOOK: Duration = Duration::from_secs(1);

/// Ends this process soon after the one that started it, however that ended.
fn end_with_parent() {
    let parent = getppid();
    thread::spawn(move || {
        while getppid() == parent {
            thread::sleep(PARENT_LOOK);
        }
        process::exit(1);
    });
}

/// Runs an entry until it is told to stop, as it is deployed.
pub fn entry(settings: &Path) -> anyhow::Result<()> {
    end_with_parent();
    let settings = DirectSettings::try_from(RawFile::load(settings)?)?;
    let port = pondwalk_platform::port(
        settings.store.address,
        settings.store.timeout,
        settings.usage.map(|usage| usage.address),
    );
    pondwalk_direct::run(settings, pondwalk_platform::dialect(), port)?;
    Ok(())
}

/// Runs the store.
pub fn store(address: SocketAddr) -> anyhow::Result<()> {
    on_one_thread(async move {
        let listener = TcpListener::bind(address).await.context("the store's port")?;
        Ok(platform_store::serve(MemoryStore::default(), listener).await?)
    })
}

/// Runs a backend server.
pub fn server(id: String, address: SocketAddr, streams: bool) -> anyhow::Result<()> {
    let stream = Behaviour::Stream { last: EVENTS, gap: EVENT_GAP, confidence: None, cut_in: None };
    let usual = if streams { stream } else { Behaviour::Echo };
    on_one_thread(async move {
        let listener = TcpListener::bind(address).await.context("the server's port")?;
        Ok(platform_server::serve(id, usual, listener).await?)
    })
}

fn on_one_thread(work: impl Future<Output = anyhow::Result<()>>) -> anyhow::Result<()> {
    end_with_parent();
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, work)
}
