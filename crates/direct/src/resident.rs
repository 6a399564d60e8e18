//! Resident memory of this process.

use std::fs;

use nix::unistd::{SysconfVar, sysconf};

/// Resident memory in bytes; `None` where the system does not report it.
pub fn resident_bytes() -> Option<u64> {
    let text = fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = text.split(' ').nth(1)?.parse().ok()?;
    let page_bytes = sysconf(SysconfVar::PAGE_SIZE).ok()??;
    Some(pages * u64::try_from(page_bytes).ok()?)
}
