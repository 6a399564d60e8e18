//! `pondwalk direct`: an entry on the users' platform, without agents.

use std::path::Path;

use pondwalk_config::{DirectSettings, RawFile};

use crate::exit::Exit;

/// Runs the entry until it is told to stop.
pub fn run(settings: &Path) -> anyhow::Result<Exit> {
    let settings = DirectSettings::try_from(RawFile::load(settings)?)?;
    let port = pondwalk_platform::port(
        settings.store.address,
        settings.store.timeout,
        settings.usage.map(|usage| usage.address),
    );
    pondwalk_direct::run(settings, pondwalk_platform::dialect(), port)?;
    Ok(Exit::Success)
}
