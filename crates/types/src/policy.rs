//! The operators' checked configuration, one value per generation.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{ModelId, TaskId, TokenUsage, VersionId, WorkspaceId};

/// Price of a version, in the currency of the spend caps.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Price {
    /// Price of 1,000 prompt tokens.
    pub prompt_per_1k_tokens: f64,
    /// Price of 1,000 output tokens.
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

/// Whether a version accepts new sessions and new requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionState {
    /// Accepts new sessions and new requests.
    #[default]
    Live,
    /// Accepts requests of existing sessions only.
    Retiring,
    /// Accepts no new requests.
    Withdrawn,
}

/// Price and state of one version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct VersionSpec {
    /// Price of the version's tokens.
    pub price: Price,
    /// Whether the version accepts requests.
    pub state: VersionState,
}

/// A new version that gradually replaces an old one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RollOut {
    /// The new version.
    pub version: VersionId,
    /// The version that it is compared with and replaces.
    pub replaces: VersionId,
}

/// Required quality of the answers to one task.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct TaskPolicy {
    /// Lowest quality of an answer that meets the target, from 0 to 1.
    pub quality_target: f64,
    /// Required share of answers that meet the target, from 0 to 1.
    pub target_share: f64,
}

/// What happens to a session when its version is withdrawn.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WithdrawalPolicy {
    /// The session ends and a new one starts on another version; the response reports it.
    #[default]
    Restart,
    /// Requests of the session are refused without being run.
    Refuse,
}

/// Permissions, targets and limits of one workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkspacePolicy {
    /// Versions that the workspace may use.
    pub allowed_versions: BTreeSet<VersionId>,
    /// Plain services that the workspace may use.
    pub allowed_services: BTreeSet<VersionId>,
    /// Quality targets by task.
    pub tasks: BTreeMap<TaskId, TaskPolicy>,
    /// Whether tasks without a target are refused.
    pub only_listed_tasks: bool,
    /// Daily spend cap; `None` for no cap.
    pub spend_cap: Option<f64>,
    /// Priority from 0 (shed first) to 9 (shed last).
    pub priority: u8,
    /// Weight in the fair sharing of scarce servers.
    pub share_weight: f64,
    /// What happens to sessions on a withdrawn version.
    pub on_withdrawal: WithdrawalPolicy,
    /// SHA-256 digests, in lower-case hex, of the API keys of the workspace's callers.
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

/// The complete checked configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Policy {
    /// Model versions by name.
    pub versions: BTreeMap<VersionId, VersionSpec>,
    /// Prices by model, for versions without a price of their own.
    pub model_prices: BTreeMap<ModelId, Price>,
    /// Plain services by name.
    pub services: BTreeSet<VersionId>,
    /// Roll-outs in progress.
    pub roll_outs: Vec<RollOut>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<WorkspaceId, WorkspacePolicy>,
}

/// Wildcard for all services in a workspace's list.
pub const ALL_SERVICES: &str = "*";

impl Policy {
    /// The price of a version, or of its model if the version has none; `None` if neither has a price.
    pub fn price_of(&self, version: &str) -> Option<Price> {
        if let Some(spec) = self.versions.get(version) {
            return Some(spec.price);
        }
        let (model, _) = version.split_once('/')?;
        self.model_prices.get(model).copied()
    }

    /// Adds a version at its model's price; returns `false` if the version has no price.
    pub fn add_version(&mut self, version: &str) -> bool {
        let Some(price) = self.price_of(version) else {
            return false;
        };
        let spec = VersionSpec { price, state: VersionState::Live };
        self.versions.entry(version.to_owned()).or_insert(spec);
        true
    }

    /// Adds a service, and allows it for all workspaces with the wildcard.
    pub fn add_service(&mut self, service: &str) {
        self.services.insert(service.to_owned());
        for workspace in self.workspaces.values_mut() {
            if workspace.allowed_services.contains(ALL_SERVICES) {
                workspace.allowed_services.insert(service.to_owned());
            }
        }
    }

    /// Whether a workspace's request may run on a version, regardless of sessions.
    pub fn may_run(&self, workspace: &WorkspacePolicy, version: &VersionId) -> bool {
        if self.services.contains(version) {
            return workspace.allowed_services.contains(version);
        }
        let withdrawn =
            self.versions.get(version).is_none_or(|spec| spec.state == VersionState::Withdrawn);
        !withdrawn && workspace.allowed_versions.contains(version)
    }
}
