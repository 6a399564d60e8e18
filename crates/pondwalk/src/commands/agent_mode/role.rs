//! `pondwalk entry` and `pondwalk agent`: run one role as a process.

use std::{future::Future, path::Path};

use pondwalk_agent::RunningAgent;
use pondwalk_config::{AgentSettings, EntrySettings, RawFile, shared::StoreSettings};
use pondwalk_entry::RunningEntry;
use pondwalk_store::{Store, http_transport};
use tokio::signal::unix::{SignalKind, signal};

use super::block_on;
use crate::{exit::Exit, telemetry};

/// Runs an entry until it receives a stop signal.
pub fn entry(settings: &Path) -> anyhow::Result<Exit> {
    let settings = EntrySettings::try_from(RawFile::load(settings)?)?;
    let (_telemetry, metrics) = telemetry::start(&settings.telemetry, "entry")?;
    let store = store(&settings.store);
    let entry = RunningEntry::start(settings, store, metrics)?;
    println!("listening on {}", entry.address());
    block_on(drain_on_signal(|| entry.drain()))
}

/// Runs an agent until it receives a stop signal.
pub fn agent(settings: &Path) -> anyhow::Result<Exit> {
    let settings = AgentSettings::try_from(RawFile::load(settings)?)?;
    let (_telemetry, metrics) = telemetry::start(&settings.telemetry, "agent")?;
    let store = store(&settings.store);
    let agent = RunningAgent::start(settings, store, metrics)?;
    println!("listening on {}", agent.address());
    block_on(drain_on_signal(|| agent.drain()))
}

fn store(settings: &StoreSettings) -> Store {
    Store::new(http_transport(settings.address), settings.timeout)
}

/// Waits for a stop signal, then drains; a second signal ends the process without waiting.
async fn drain_on_signal<F: Future<Output = bool>>(
    drain: impl FnOnce() -> F,
) -> anyhow::Result<Exit> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let clean = tokio::select! {
        clean = drain() => clean,
        _ = terminate.recv() => false,
        _ = interrupt.recv() => false,
    };
    Ok(if clean { Exit::Success } else { Exit::CheckFailed })
}
