//! The operators' configuration after checking: one value per generation.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{ModelId, TaskId, TokenUsage, VersionId, WorkspaceId};

/// Price of a version, in the currency of the operators' spend caps.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Price {
    /// Price of a thousand prompt tokens.
    pub prompt_per_1k_tokens: f64,
    /// Price of a thousand output tokens.
    pub output_per_1k_tokens: f64,
}

impl Price {
    /// Cost of one run.
    pub fn cost(&self, usage: TokenUsage) -> f64 {
        let prompt = usage.prompt_tokens as f64 * self.prompt_per_1k_tokens;
        let output = usage.output_tokens as f64 * self.output_per_1k_tokens;
        (prompt + output) / 1000.0
    }
}

/// Whether a version may take new sessions or new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionState {
    /// Takes new sessions and new work.
    #[default]
    Live,
    /// Takes work of old sessions only.
    Retiring,
    /// Takes no new work at all.
    Withdrawn,
}

/// What the operators say of one version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct VersionSpec {
    /// What its tokens cost.
    pub price: Price,
    /// Whether it may take work.
    pub state: VersionState,
}

/// A new version that takes over from an old one step by step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RollOut {
    /// The new version.
    pub version: VersionId,
    /// The version it is compared with and takes over from.
    pub replaces: VersionId,
}

/// Quality asked of the answers to one task.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct TaskPolicy {
    /// The quality, from 0 to 1, at which an answer meets the target.
    pub quality_target: f64,
    /// The share of answers, from 0 to 1, that must meet it.
    pub target_share: f64,
}

/// What becomes of a session whose version is withdrawn.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WithdrawalPolicy {
    /// The session ends and a new one starts on another version; the caller is told.
    #[default]
    Restart,
    /// Its requests are refused, truly not run.
    Refuse,
}

/// One workspace's rights, targets and limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkspacePolicy {
    /// Versions it may use.
    pub allowed_versions: BTreeSet<VersionId>,
    /// Plain services it may use.
    pub allowed_services: BTreeSet<VersionId>,
    /// Quality targets by task; a task not listed is not allowed when `only_listed_tasks`.
    pub tasks: BTreeMap<TaskId, TaskPolicy>,
    /// Whether a task without a target is refused.
    pub only_listed_tasks: bool,
    /// What it may spend in a day; absent means without limit.
    pub spend_cap: Option<f64>,
    /// From 0 (shed first) to 9 (shed last).
    pub priority: u8,
    /// Weight of its fair share when servers are short.
    pub share_weight: f64,
    /// What becomes of its sessions on a withdrawn version.
    pub on_withdrawal: WithdrawalPolicy,
    /// SHA-256 digests, in lower-case hex, of the keys its callers present.
    pub keys_sha256: BTreeSet<String>,
}

impl Default for WorkspacePolicy {
    fn default() -> Self {
        WorkspacePolicy {
            allowed_versions: BTreeSet::new(),
            allowed_services: BTreeSet::new(),
            tasks: BTreeMap::new(),
            only_listed_tasks: false,
            spend_cap: None,
            priority: 5,
            share_weight: 1.0,
            on_withdrawal: WithdrawalPolicy::default(),
            keys_sha256: BTreeSet::new(),
        }
    }
}

/// Everything the operators decide, checked and complete.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// Model versions by name.
    pub versions: BTreeMap<VersionId, VersionSpec>,
    /// Prices by model, for versions that have none of their own.
    pub model_prices: BTreeMap<ModelId, Price>,
    /// Plain services by name.
    pub services: BTreeSet<VersionId>,
    /// Roll-outs under way.
    pub roll_outs: Vec<RollOut>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<WorkspaceId, WorkspacePolicy>,
}

/// Stands for all services in a workspace's list.
pub const ALL_SERVICES: &str = "*";

impl Policy {
    /// The price of a version: its own, or its model's; `None` if neither is known.
    pub fn price_of(&self, version: &str) -> Option<Price> {
        if let Some(spec) = self.versions.get(version) {
            return Some(spec.price);
        }
        let (model, _) = version.split_once('/')?;
        self.model_prices.get(model).copied()
    }

    /// Adds a version at its model's price; `false` if that has none.
    pub fn add_version(&mut self, version: &str) -> bool {
        let Some(price) = self.price_of(version) else {
            return false;
        };
        let spec = VersionSpec { price, state: VersionState::Live };
        self.versions.entry(version.to_owned()).or_insert(spec);
        true
    }

    /// Adds a service, for those workspaces too that may use all services.
    pub fn add_service(&mut self, service: &str) {
        self.services.insert(service.to_owned());
        for workspace in self.workspaces.values_mut() {
            if workspace.allowed_services.contains(ALL_SERVICES) {
                workspace.allowed_services.insert(service.to_owned());
            }
        }
    }

    /// Whether a workspace's request may start on a version, without regard to sessions.
    pub fn may_run(&self, workspace: &WorkspacePolicy, version: &VersionId) -> bool {
        if self.services.contains(version) {
            return workspace.allowed_services.contains(version);
        }
        let withdrawn =
            self.versions.get(version).is_none_or(|spec| spec.state == VersionState::Withdrawn);
        !withdrawn && workspace.allowed_versions.contains(version)
    }
}
