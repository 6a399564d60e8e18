//! Policy files: versions, services, roll-outs, templates and workspaces.
//!
//! A template contains keys of a workspace, with `${NAME}` as placeholders for parameters. A workspace names
//! its template, defines the parameters as `param.NAME`, and may override any key of the template.

use std::collections::{BTreeMap, BTreeSet};

use pondwalk_types::{
    Policy, Price, RollOut, TaskPolicy, VersionSpec, VersionState, WithdrawalPolicy,
    WorkspacePolicy, policy::ALL_SERVICES,
};

use crate::{
    error::{ConfigError, Problem},
    raw::RawFile,
};

const PARAMETER_PREFIX: &str = "param.";
/// Suffix of a section name that sets the price of all versions of a model.
const ANY_VERSION: &str = "/*";
const TASK_PREFIX: &str = "task.";

/// Reads a file that contains only a policy.
///
/// # Errors
///
/// Returns all faults of the file.
pub fn policy_from_ini(mut file: RawFile) -> Result<Policy, ConfigError> {
    let policy = read_policy(&mut file);
    file.finish(Some(policy))
}

/// Reads the policy's sections from a file that may have other sections.
pub fn read_policy(file: &mut RawFile) -> Policy {
    let mut policy = Policy::default();
    for name in file.section_names("version") {
        let spec = read_version(file, &format!("version {name}"));
        match name.strip_suffix(ANY_VERSION) {
            Some(model) => drop(policy.model_prices.insert(model.to_owned(), spec.price)),
            None => drop(policy.versions.insert(name, spec)),
        }
    }
    policy.services = file.section_names("service").into_iter().collect();
    for name in file.section_names("roll_out") {
        read_roll_out(file, name, &mut policy);
    }
    check_templates(file);
    for name in file.section_names("workspace") {
        let workspace = read_workspace(file, &name, &policy);
        policy.workspaces.insert(name, workspace);
    }
    add_allowed_versions(&mut policy);
    for service in policy.services.clone() {
        policy.add_service(&service);
    }
    policy
}

/// Adds the versions that workspaces allow and that have no section of their own but a price by their model.
fn add_allowed_versions(policy: &mut Policy) {
    let workspaces = policy.workspaces.values();
    let named: BTreeSet<String> =
        workspaces.flat_map(|workspace| workspace.allowed_versions.iter().cloned()).collect();
    for version in named {
        policy.add_version(&version);
    }
}

fn read_version(file: &mut RawFile, section: &str) -> VersionSpec {
    let expected = "a price of zero or more per thousand tokens";
    let bounds = (0.0, 1e9);
    let prompt_per_1k_tokens =
        file.bounded(section, "prompt_price_per_1k_tokens", expected, bounds, 0.0);
    let output_per_1k_tokens =
        file.bounded(section, "output_price_per_1k_tokens", expected, bounds, 0.0);
    let found = file.text(section, "state").unwrap_or_else(|| "live".into());
    let state = match found.as_str() {
        "live" => VersionState::Live,
        "retiring" => VersionState::Retiring,
        "withdrawn" => VersionState::Withdrawn,
        _ => {
            let expected = "live, retiring or withdrawn";
            file.add_fault(section, "state", Problem::Invalid { found, expected });
            VersionState::Live
        }
    };
    VersionSpec { price: Price { prompt_per_1k_tokens, output_per_1k_tokens }, state }
}

fn read_roll_out(file: &mut RawFile, version: String, policy: &mut Policy) {
    let section = format!("roll_out {version}");
    let expected = "the version that it replaces";
    let Some(replaces) = file.required::<String>(&section, "replaces", expected) else {
        return;
    };
    for name in [&version, &replaces] {
        if !policy.add_version(name) {
            file.add_fault(&section, "replaces", Problem::Undefined { name: name.clone() });
        }
    }
    policy.roll_outs.push(RollOut { version, replaces });
}

/// Marks the keys of templates as used; their values are checked when workspaces use them.
fn check_templates(file: &mut RawFile) {
    for name in file.section_names("template") {
        let section = format!("template {name}");
        for (key, _) in file.pairs(&section) {
            if is_workspace_key(&key) {
                file.mark_used(&section, &key);
            }
        }
    }
}

fn is_workspace_key(key: &str) -> bool {
    const KEYS: [&str; 8] = [
        "allowed_versions",
        "allowed_services",
        "only_listed_tasks",
        "spend_cap",
        "priority",
        "share_weight",
        "on_withdrawal",
        "keys_sha256",
    ];
    KEYS.contains(&key) || task_key(key).is_some()
}

/// Splits `task.NAME.FIELD`.
fn task_key(key: &str) -> Option<(&str, &str)> {
    let (task, field) = key.strip_prefix(TASK_PREFIX)?.rsplit_once('.')?;
    matches!(field, "quality_target" | "target_share").then_some((task, field))
}

/// A workspace's section after expansion of its template and parameters.
struct ExpandedWorkspace {
    section: String,
    values: BTreeMap<String, String>,
}

impl ExpandedWorkspace {
    fn number(
        &self,
        file: &mut RawFile,
        key: &str,
        expected: &'static str,
        bounds: (f64, f64),
    ) -> Option<f64> {
        let found = self.values.get(key)?;
        match found.trim().parse::<f64>() {
            Ok(value) if value >= bounds.0 && value <= bounds.1 => Some(value),
            _ => {
                file.add_fault(
                    &self.section,
                    key,
                    Problem::Invalid { found: found.clone(), expected },
                );
                None
            }
        }
    }

    fn names(&self, key: &str) -> BTreeSet<String> {
        let text = self.values.get(key).map(String::as_str).unwrap_or_default();
        RawFile::split_list(text).into_iter().collect()
    }
}

fn read_workspace(file: &mut RawFile, name: &str, policy: &Policy) -> WorkspacePolicy {
    let expanded = expand_template(file, format!("workspace {name}"));
    let mut workspace = WorkspacePolicy {
        allowed_versions: expanded.names("allowed_versions"),
        allowed_services: expanded.names("allowed_services"),
        tasks: read_tasks(file, &expanded),
        keys_sha256: expanded.names("keys_sha256"),
        ..WorkspacePolicy::default()
    };
    check_names(file, &expanded, &workspace, policy);
    workspace.spend_cap =
        expanded.number(file, "spend_cap", "an amount of zero or more", (0.0, 1e12));
    if let Some(priority) =
        expanded.number(file, "priority", "a whole number from 0 to 9", (0.0, 9.0))
    {
        workspace.priority = priority as u8;
    }
    if let Some(weight) =
        expanded.number(file, "share_weight", "a number from 0.01 to 1000", (0.01, 1000.0))
    {
        workspace.share_weight = weight;
    }
    workspace.only_listed_tasks =
        read_choice(file, &expanded, "only_listed_tasks", "true or false", |t| t.parse().ok())
            .unwrap_or(false);
    workspace.on_withdrawal =
        read_choice(file, &expanded, "on_withdrawal", "restart or refuse", |t| match t {
            "restart" => Some(WithdrawalPolicy::Restart),
            "refuse" => Some(WithdrawalPolicy::Refuse),
            _ => None,
        })
        .unwrap_or_default();
    workspace
}

fn read_choice<T>(
    file: &mut RawFile,
    expanded: &ExpandedWorkspace,
    key: &str,
    expected: &'static str,
    read: impl Fn(&str) -> Option<T>,
) -> Option<T> {
    let found = expanded.values.get(key)?;
    let value = read(found.trim());
    if value.is_none() {
        file.add_fault(&expanded.section, key, Problem::Invalid { found: found.clone(), expected });
    }
    value
}

/// Merges the template's keys with the workspace's own and substitutes the parameters.
fn expand_template(file: &mut RawFile, section: String) -> ExpandedWorkspace {
    let mut values = BTreeMap::new();
    if let Some(template) = file.text(&section, "template") {
        let template_section = format!("template {template}");
        if !file.has_section(&template_section) {
            file.add_fault(&section, "template", Problem::Undefined { name: template });
        }
        values.extend(file.pairs(&template_section));
    }
    let mut parameters = BTreeMap::new();
    for (key, value) in file.pairs(&section) {
        if let Some(parameter) = key.strip_prefix(PARAMETER_PREFIX) {
            file.mark_used(&section, &key);
            parameters.insert(parameter.to_owned(), value);
        } else if is_workspace_key(&key) {
            file.mark_used(&section, &key);
            values.insert(key, value);
        }
    }
    for (key, value) in &mut values {
        match substitute(value, &parameters) {
            Ok(expanded) => *value = expanded,
            Err(name) => file.add_fault(&section, key, Problem::NoParameter { name }),
        }
    }
    ExpandedWorkspace { section, values }
}

/// Replaces each `${NAME}`; the error is the name of an undefined parameter.
fn substitute(text: &str, parameters: &BTreeMap<String, String>) -> Result<String, String> {
    let mut expanded = String::new();
    let mut rest = text;
    while let Some((before, after)) = rest.split_once("${") {
        let (name, tail) = after.split_once('}').unwrap_or((after, ""));
        let value = parameters.get(name).ok_or_else(|| name.to_owned())?;
        expanded.push_str(before);
        expanded.push_str(value);
        rest = tail;
    }
    expanded.push_str(rest);
    Ok(expanded)
}

fn read_tasks(file: &mut RawFile, expanded: &ExpandedWorkspace) -> BTreeMap<String, TaskPolicy> {
    let names: BTreeSet<String> =
        expanded.values.keys().filter_map(|key| Some(task_key(key)?.0.to_owned())).collect();
    let mut tasks = BTreeMap::new();
    for name in names {
        let expected = "a number from 0 to 1";
        let mut read = |field: &str, default: f64| {
            let key = format!("{TASK_PREFIX}{name}.{field}");
            expanded.number(file, &key, expected, (0.0, 1.0)).unwrap_or(default)
        };
        let task = TaskPolicy {
            quality_target: read("quality_target", 0.0),
            target_share: read("target_share", 0.9),
        };
        tasks.insert(name, task);
    }
    tasks
}

fn check_names(
    file: &mut RawFile,
    expanded: &ExpandedWorkspace,
    workspace: &WorkspacePolicy,
    policy: &Policy,
) {
    for name in &workspace.allowed_versions {
        if policy.price_of(name).is_none() {
            let problem = Problem::Undefined { name: name.clone() };
            file.add_fault(&expanded.section, "allowed_versions", problem);
        }
    }
    for name in &workspace.allowed_services {
        if name != ALL_SERVICES && !policy.services.contains(name) {
            let problem = Problem::Undefined { name: name.clone() };
            file.add_fault(&expanded.section, "allowed_services", problem);
        }
    }
    for digest in &workspace.keys_sha256 {
        let hex = digest.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
        if digest.len() != 64 || !hex {
            let expected = "64 lower-case hex digits";
            let problem = Problem::Invalid { found: digest.clone(), expected };
            file.add_fault(&expanded.section, "keys_sha256", problem);
        }
    }
}
