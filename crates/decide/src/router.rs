//! The router of an entry: plans requests and updates its estimates from their outcomes.

mod admit;
mod choose;
mod learn;
mod lifecycle;
mod membership;

use std::time::Duration;

use pondwalk_types::{
    Generation, Policy, TaskPolicy, VersionId, VersionState, WithdrawalPolicy, WorkspacePolicy,
};

use crate::{
    budget::{RetryBudget, SpendBudget},
    estimate::{Estimates, RunningMean},
    intern::{Interner, TaskIx, VersionIx, WorkspaceIx},
    plan::RatingAvailability,
    quality_balance::{BalanceMidpoint, QualityBalance},
    servers::Servers,
    session::Sessions,
    trial::{Trial, TrialStage, TripCause},
    tuning::{MAX_RATING_MISSES, MIN_RATING_TIMEOUT, RATING_PROBE_REQUESTS},
};

/// Counters for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RouterCounters {
    /// Runs started because an answer missed its target.
    pub escalations: u64,
    /// Runs started because an earlier run failed.
    pub retries: u64,
    /// Runs refused by an agent before they started.
    pub refusals: u64,
    /// Sessions restarted on another version.
    pub session_restarts: u64,
}

/// The policy of a workspace with names resolved to indices, and its state.
#[derive(Debug, Default)]
struct Workspace {
    policy: WorkspacePolicy,
    allowed: Vec<VersionIx>,
    tasks: Vec<Option<TaskPolicy>>,
    balances: Vec<QualityBalance>,
    spend: SpendBudget,
}

/// The trial of a version that is being rolled out.
#[derive(Debug)]
struct RollOutTrial {
    version: VersionIx,
    replaces: VersionIx,
    trial: Trial,
    /// Runs granted to the new version for runs of the old one, and not yet used.
    credit: f64,
}

/// Plans the runs of requests and updates its estimates from their outcomes.
#[derive(Debug, Default)]
pub struct Router {
    generation: Generation,
    versions: Interner,
    tasks: Interner,
    workspace_names: Interner,
    server_names: Interner,
    states: Vec<Option<VersionState>>,
    services: Vec<VersionIx>,
    workspaces: Vec<Option<Workspace>>,
    roll_outs: Vec<RollOutTrial>,
    estimates: Estimates,
    /// Midpoints of the penalty curves, by task.
    midpoints: Vec<BalanceMidpoint>,
    servers: Servers,
    sessions: Sessions,
    retries: RetryBudget,
    rating_delay_ms: RunningMean,
    rating_misses: u32,
    requests: u64,
    counters: RouterCounters,
}

impl Router {
    /// A router without a configuration, for a process in the given data centre.
    pub fn new(data_centre: &str) -> Self {
        let mut router = Router::default();
        router.servers.set_local_data_centre(data_centre);
        router
    }

    /// Installs a configuration unless its generation is not newer; returns whether it did.
    pub fn install(&mut self, generation: Generation, policy: &Policy) -> bool {
        if generation <= self.generation {
            return false;
        }
        self.generation = generation;
        self.install_versions(policy);
        self.install_roll_outs(policy);
        self.install_workspaces(policy);
        true
    }

    /// Generation of the installed configuration; 0 if there is none.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Counters since the start of the process.
    pub fn counters(&self) -> RouterCounters {
        self.counters
    }

    /// Amount that a workspace has spent at this process.
    pub fn spent(&self, workspace: &str) -> f64 {
        let workspace = self.workspace_names.find(workspace).and_then(|ix| self.workspace(ix));
        workspace.map_or(0.0, |workspace| workspace.spend.spent())
    }

    /// Remainder of the workspace's spend slice at this process; `None` means unlimited.
    pub fn remaining_spend(&self, workspace: &str) -> Option<f64> {
        self.workspace_names.find(workspace).and_then(|ix| self.workspace(ix)?.spend.remaining())
    }

    /// Sets the slice of a workspace's spend cap that this process may use.
    pub fn set_spend_slice(&mut self, workspace: &str, limit: Option<f64>) {
        let ix = self.workspace_names.intern(workspace);
        if let Some(Some(workspace)) = self.workspaces.get_mut(ix) {
            workspace.spend.set_limit(limit);
        }
    }

    /// The trial of a version, if it is being rolled out.
    pub fn trial(&self, version: &str) -> Option<&Trial> {
        let version = self.versions.find(version)?;
        self.roll_outs.iter().find(|r| r.version == version).map(|r| &r.trial)
    }

    /// Applies a trip reported by an agent; no effect on versions that are not on trial.
    pub fn trip(&mut self, now: Duration, version: &str, cause: TripCause) {
        let version = self.versions.find(version);
        if let Some(roll_out) = version.and_then(|version| self.roll_out_mut(version)) {
            roll_out.trial.trip(now, cause);
        }
    }

    /// Tripped versions with the causes.
    pub fn tripped_versions(&self) -> Vec<(VersionId, TripCause)> {
        let tripped = self.roll_outs.iter().filter_map(|roll_out| match roll_out.trial.stage() {
            TrialStage::Tripped(cause) => {
                Some((self.versions.name(roll_out.version).to_owned(), cause))
            }
            _ => None,
        });
        tripped.collect()
    }

    fn install_versions(&mut self, policy: &Policy) {
        self.states.iter_mut().for_each(|state| *state = None);
        let mut prices = Vec::with_capacity(policy.versions.len());
        for (name, spec) in &policy.versions {
            let version = self.versions.intern(name);
            prices.push((version, spec.price));
            self.set_state(version, spec.state);
        }
        self.estimates.set_prices(&prices);
        self.services = policy.services.iter().map(|name| self.versions.intern(name)).collect();
    }

    fn set_state(&mut self, version: VersionIx, state: VersionState) {
        if self.states.len() <= version {
            self.states.resize(version + 1, None);
        }
        self.states[version] = Some(state);
    }

    fn install_roll_outs(&mut self, policy: &Policy) {
        let mut roll_outs = Vec::with_capacity(policy.roll_outs.len());
        for roll_out in &policy.roll_outs {
            let version = self.versions.intern(&roll_out.version);
            let replaces = self.versions.intern(&roll_out.replaces);
            let existing = self.roll_outs.iter().find(|existing| existing.version == version);
            let (trial, credit) = match existing {
                Some(existing) if existing.replaces == replaces => {
                    (existing.trial, existing.credit)
                }
                _ => {
                    self.estimates.forget(version);
                    (Trial::default(), 0.0)
                }
            };
            roll_outs.push(RollOutTrial { version, replaces, trial, credit });
        }
        self.roll_outs = roll_outs;
    }

    fn install_workspaces(&mut self, policy: &Policy) {
        let mut previous_workspaces = std::mem::take(&mut self.workspaces);
        for (name, workspace) in &policy.workspaces {
            let ix = self.workspace_names.intern(name);
            let previous =
                previous_workspaces.get_mut(ix).and_then(Option::take).unwrap_or_default();
            let resolved = self.resolve(workspace, previous);
            if self.workspaces.len() <= ix {
                self.workspaces.resize_with(ix + 1, || None);
            }
            self.workspaces[ix] = Some(resolved);
        }
    }

    fn resolve(&mut self, policy: &WorkspacePolicy, previous: Workspace) -> Workspace {
        let names = policy.allowed_versions.iter().chain(&policy.allowed_services);
        let allowed = names.map(|name| self.versions.intern(name)).collect();
        let mut tasks = Vec::new();
        for (name, task) in &policy.tasks {
            let ix = self.tasks.intern(name);
            if tasks.len() <= ix {
                tasks.resize(ix + 1, None);
            }
            tasks[ix] = Some(*task);
        }
        let mut spend = previous.spend;
        // NB: the limit is an allocated slice of the cap, so it is kept if only the amount changes.
        if policy.spend_cap.is_some() != previous.policy.spend_cap.is_some() {
            spend.set_limit(policy.spend_cap);
        }
        Workspace { policy: policy.clone(), allowed, tasks, balances: previous.balances, spend }
    }

    fn workspace(&self, ix: WorkspaceIx) -> Option<&Workspace> {
        self.workspaces.get(ix)?.as_ref()
    }

    fn state(&self, version: VersionIx) -> Option<VersionState> {
        self.states.get(version).copied().flatten()
    }

    fn roll_out(&self, version: VersionIx) -> Option<&RollOutTrial> {
        self.roll_outs.iter().find(|roll_out| roll_out.version == version)
    }

    fn roll_out_mut(&mut self, version: VersionIx) -> Option<&mut RollOutTrial> {
        self.roll_outs.iter_mut().find(|roll_out| roll_out.version == version)
    }

    fn is_tripped(&self, version: VersionIx) -> bool {
        self.roll_out(version)
            .is_some_and(|roll_out| matches!(roll_out.trial.stage(), TrialStage::Tripped(_)))
    }

    /// Whether a version accepts requests of existing sessions.
    fn accepts_session_work(&self, version: VersionIx) -> bool {
        let state = self.state(version);
        matches!(state, Some(VersionState::Live | VersionState::Retiring))
            && !self.is_tripped(version)
    }

    /// Whether a version accepts requests outside existing sessions.
    fn accepts_new_work(&self, version: VersionIx) -> bool {
        self.state(version) == Some(VersionState::Live) && !self.is_tripped(version)
    }

    fn balance(&self, workspace: WorkspaceIx, task: TaskIx) -> QualityBalance {
        let balances = self.workspace(workspace).map(|w| w.balances.as_slice());
        balances.and_then(|balances| balances.get(task)).copied().unwrap_or_default()
    }

    fn midpoint(&self, task: TaskIx) -> BalanceMidpoint {
        self.midpoints.get(task).copied().unwrap_or_default()
    }

    fn balance_mut(&mut self, workspace: WorkspaceIx, task: TaskIx) -> Option<&mut QualityBalance> {
        let balances = &mut self.workspaces.get_mut(workspace)?.as_mut()?.balances;
        if balances.len() <= task {
            balances.resize(task + 1, QualityBalance::default());
        }
        balances.get_mut(task)
    }

    fn rating_availability(&self) -> RatingAvailability {
        let probing = self.requests.is_multiple_of(u64::from(RATING_PROBE_REQUESTS));
        let prior_ms = MIN_RATING_TIMEOUT.as_secs_f64() * 1e3 / 2.0;
        RatingAvailability {
            delay: crate::plan::duration_from_ms(self.rating_delay_ms.or(prior_ms)),
            is_available: self.rating_misses < MAX_RATING_MISSES || probing,
        }
    }

    fn restart_allowed(&self, workspace: WorkspaceIx) -> bool {
        self.workspace(workspace)
            .is_some_and(|w| w.policy.on_withdrawal == WithdrawalPolicy::Restart)
    }
}
