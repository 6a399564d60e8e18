//! Edits of the policy, made by operators and by tripped trials.

use pondwalk_types::{Policy, RollOut, VersionId, VersionState};
use thiserror::Error;

/// Why an edit cannot be applied to the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum EditError {
    /// The version is not defined, or its model has no price.
    #[error("version {0} is not defined")]
    UnknownVersion(VersionId),
    /// The version is withdrawn.
    #[error("version {0} is withdrawn; apply with --reinstate to bring it back")]
    Withdrawn(VersionId),
}

/// Replaces the whole policy with one from a file.
///
/// Withdrawals and roll-outs ordered after the file was written stay in force; a file without them must
/// not undo them. `reinstate` lists the versions whose withdrawal the file may undo.
pub fn replace_policy(current: &Policy, file: &Policy, reinstate: &[VersionId]) -> Policy {
    let mut next = file.clone();
    for (version, spec) in &current.versions {
        if let Some(replacement) = next.versions.get_mut(version)
            && !reinstate.contains(version)
        {
            replacement.state = stricter(replacement.state, spec.state);
        }
    }
    for roll_out in &current.roll_outs {
        let is_listed = next.roll_outs.iter().any(|known| known.version == roll_out.version);
        if !is_listed && next.add_version(&roll_out.version) && next.add_version(&roll_out.replaces)
        {
            next.roll_outs.push(roll_out.clone());
        }
    }
    next
}

/// Withdraws a version, so that it accepts no new requests, and ends its roll-out.
///
/// # Errors
///
/// `UnknownVersion` if the version is not defined.
pub fn withdraw(current: &Policy, version: &VersionId) -> Result<Policy, EditError> {
    let mut next = current.clone();
    let spec = next.versions.get_mut(version);
    let spec = spec.ok_or_else(|| EditError::UnknownVersion(version.clone()))?;
    spec.state = VersionState::Withdrawn;
    next.roll_outs.retain(|roll_out| roll_out.version != *version);
    Ok(next)
}

/// Starts a roll-out, and allows the new version for all workspaces that may use the old one.
///
/// # Errors
///
/// `UnknownVersion` if a version is not defined and has no price; `Withdrawn` if the new version is withdrawn.
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
    next.roll_outs.retain(|existing| existing.version != roll_out.version);
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
