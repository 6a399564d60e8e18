//! Parsing and validation of settings and policy files in INI format.
//!
//! Every file is read into a [`raw::RawFile`], which tracks the keys that were used, and then
//! converted with `TryFrom` into one checked type. All faults of a file are reported together.

pub mod agent;
pub mod direct;
pub mod entry;
pub mod error;
pub mod inbound;
pub mod limits;
pub mod membership;
pub mod policy;
pub mod raw;
pub mod record;
pub mod replay;
pub mod shared;

pub use agent::AgentSettings;
pub use direct::{DirectSettings, UsageSettings, WarmUpSettings, min_outage};
pub use entry::EntrySettings;
pub use error::{ConfigError, Fault, Problem};
pub use inbound::InboundSettings;
pub use membership::{MembershipSettings, MembershipTimes, RELAY_GROUPS};
pub use policy::policy_from_ini;
pub use raw::RawFile;
pub use record::{HEAD_KEY, PolicyRecord};
pub use replay::{Outcome, Outcomes, ReplaySettings};

use std::path::Path;

/// Kind of a file, as detected from its sections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FileKind {
    /// Settings of an entry process.
    Entry,
    /// Settings of an agent process.
    Agent,
    /// Settings of an entry that reaches backend servers directly.
    Direct,
    /// Settings of a replay, which include a policy.
    Replay,
    /// Expected outcomes of a replay.
    Outcomes,
    /// Templates, workspaces and versions.
    Policy,
}

/// Detects the kind of a file from its sections.
pub fn detect_kind(file: &RawFile) -> FileKind {
    if file.has_section("entry") {
        FileKind::Entry
    } else if file.has_section("agent") {
        FileKind::Agent
    } else if file.has_section("direct") {
        FileKind::Direct
    } else if file.has_section("replay") {
        FileKind::Replay
    } else if file.has_section("outcome") {
        FileKind::Outcomes
    } else {
        FileKind::Policy
    }
}

/// Reads a file and checks it as the kind detected from its sections.
///
/// # Errors
///
/// Returns an error if the file cannot be read, is not INI or has faults.
pub fn check_file(path: &Path) -> Result<FileKind, ConfigError> {
    let file = RawFile::load(path)?;
    let kind = detect_kind(&file);
    match kind {
        FileKind::Entry => EntrySettings::try_from(file).map(drop)?,
        FileKind::Agent => AgentSettings::try_from(file).map(drop)?,
        FileKind::Direct => DirectSettings::try_from(file).map(drop)?,
        FileKind::Replay => ReplaySettings::try_from(file).map(drop)?,
        FileKind::Outcomes => Outcomes::try_from(file).map(drop)?,
        FileKind::Policy => policy_from_ini(file).map(drop)?,
    }
    Ok(kind)
}
