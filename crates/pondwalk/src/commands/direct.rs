//! `pondwalk direct`: runs an entry on the platform, without agents.

use std::path::Path;

use pondwalk_config::{DirectSettings, RawFile};

use pondwalk_inbound::BufferPool;

use crate::exit::Exit;

/// Runs the entry until it receives a stop signal.
pub fn run(settings: &Path) -> anyhow::Result<Exit> {
    let settings = DirectSettings::try_from(RawFile::load(settings)?)?;
    let port = pondwalk_platform::port(
        settings.store.address,
        settings.store.timeout,
        settings.usage.map(|usage| usage.address),
        BufferPool::new(settings.inbound.control_bytes),
    );
    pondwalk_direct::run(settings, pondwalk_platform::dialect(), port)?;
    Ok(Exit::Success)
}
