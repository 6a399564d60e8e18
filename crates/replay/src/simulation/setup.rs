//! Initial configuration of a replay.

use pondwalk_config::ReplaySettings;
use pondwalk_types::{Policy, VersionId};

use crate::trace::{Trace, TraceError, TraceEvent, TraceProblem};

/// Returns the initial configuration: that of the settings, extended by every version, plain
/// service and workspace that the trace names.
///
/// Returns an error if a version has no price.
pub fn starting_policy(
    file: &str,
    trace: &Trace,
    settings: &ReplaySettings,
) -> Result<Policy, TraceError> {
    let mut policy = settings.policy.clone();
    for line in &trace.lines {
        let (field, versions) = named_versions(&line.event);
        for version in versions {
            add_version_or_service(&mut policy, version).map_err(|problem| TraceError::Line {
                file: file.to_owned(),
                line: line.line,
                field: field.to_owned(),
                problem,
            })?;
        }
        add_workspace(&mut policy, &line.event, settings);
    }
    for service in policy.services.clone() {
        policy.add_service(&service);
    }
    Ok(policy)
}

fn named_versions(event: &TraceEvent) -> (&'static str, Vec<&VersionId>) {
    match event {
        TraceEvent::Server { versions, .. } | TraceEvent::Allow { versions, .. } => {
            ("versions", versions.iter().collect())
        }
        TraceEvent::RollOut { version, replaces } => ("version", vec![version, replaces]),
        TraceEvent::Withdraw(version) => ("version", vec![version]),
        _ => ("", Vec::new()),
    }
}

/// Adds a version, or a plain service if the name has no version part.
fn add_version_or_service(policy: &mut Policy, name: &VersionId) -> Result<(), TraceProblem> {
    if policy.add_version(name) {
        return Ok(());
    }
    if name.contains('/') {
        return Err(TraceProblem::NoPrice(name.clone()));
    }
    policy.services.insert(name.clone());
    Ok(())
}

fn add_workspace(policy: &mut Policy, event: &TraceEvent, settings: &ReplaySettings) {
    let name = match event {
        TraceEvent::Request(request) => &request.workspace,
        TraceEvent::Allow { workspace, .. } => workspace,
        _ => return,
    };
    let Some(default) = &settings.default_workspace else {
        return;
    };
    if let Some(template) = settings.policy.workspaces.get(default)
        && !policy.workspaces.contains_key(name)
    {
        policy.workspaces.insert(name.clone(), template.clone());
    }
}
