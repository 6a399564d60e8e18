//! The edits that operators, and tripped trials, make.

use pondwalk_types::{Policy, RollOut, VersionId, VersionState};
use thiserror::Error;

/// Why an edit does not fit the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EditError {
    /// The version is not defined and its model has no price.
    #[error("version {0} is not defined")]
    UnknownVersion(VersionId),
    /// The version is withdrawn.
    #[error("version {0} is withdrawn; apply with --reinstate to bring it back")]
    Withdrawn(VersionId),
}

/// Replaces the whole policy by one from version control.
///
/// Withdrawals and roll-outs that were ordered meanwhile stay in force, since a file that knows
/// nothing of them must not undo them; `reinstate` names the versions that it may bring back.
pub fn replace_policy(current: &Policy, file: &Policy, reinstate: &[VersionId]) -> Policy {
    let mut next = file.clone();
    for (version, spec) in &current.versions {
        if let Some(named) = next.versions.get_mut(version)
            && !reinstate.contains(version)
        {
            named.state = stricter(named.state, spec.state);
        }
    }
    for roll_out in &current.roll_outs {
        let named = next.roll_outs.iter().any(|known| known.version == roll_out.version);
        if !named && next.add_version(&roll_out.version) && next.add_version(&roll_out.replaces) {
            next.roll_outs.push(roll_out.clone());
        }
    }
    next
}

/// Withdraws a version: it takes no new work at all.
pub fn withdraw(current: &Policy, version: &VersionId) -> Result<Policy, EditError> {
    let mut next = current.clone();
    let spec = next.versions.get_mut(version);
    let spec = spec.ok_or_else(|| EditError::UnknownVersion(version.clone()))?;
    spec.state = VersionState::Withdrawn;
    next.roll_outs.retain(|roll_out| roll_out.version != *version);
    Ok(next)
}

/// Starts a roll-out; workspaces that may use the old version may use the new one.
pub fn add_roll_out(current: &Policy, roll_out: &RollOut) -> Result<Policy, EditError> {
    let mut next = current.clone();
    for version in [&roll_out.version, &roll_out.replaces] {
        if !next.add_version(version) {
            return Err(EditError::UnknownVersion(version.clone()));
        }
    }
    let state = next.versions.get(&roll_out.version).map(|spec| spec.state);
    if state == Some(VersionState::Withdrawn) {
        return Err(EditError::Withdrawn(roll_out.version.clone()));
    }
    for workspace in next.workspaces.values_mut() {
        if workspace.allowed_versions.contains(&roll_out.replaces) {
            workspace.allowed_versions.insert(roll_out.version.clone());
        }
    }
    next.roll_outs.retain(|known| known.version != roll_out.version);
    next.roll_outs.push(roll_out.clone());
    Ok(next)
}

fn stricter(a: VersionState, b: VersionState) -> VersionState {
    let rank = |state| match state {
        VersionState::Live => 0,
        VersionState::Retiring => 1,
        VersionState::Withdrawn => 2,
    };
    if rank(a) >= rank(b) { a } else { b }
}
