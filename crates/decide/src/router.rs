//! The entry's side of the decision: one value that plans requests and learns from them.

mod admit;
mod choose;
mod learn;
mod members;
mod steps;

use std::time::Duration;

use pondwalk_types::{
    Generation, Policy, TaskPolicy, VersionId, VersionState, WithdrawalPolicy, WorkspacePolicy,
};

use crate::{
    account::{Account, SlackLevel},
    budget::{RetryBudget, SpendBudget},
    estimate::{Estimates, RunningMean},
    intern::{Names, TaskIx, VersionIx, WorkspaceIx},
    plan::RatingOutlook,
    servers::Servers,
    session::Sessions,
    trial::{Trial, TrialStage, TripCause},
    tuning::{RATING_MISSES_LIMIT, RATING_PROBE_EVERY, RATING_WAIT_PRIOR},
};

/// Counts of what the router did, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RouterCounters {
    /// Second runs made because an answer was poor.
    pub escalations: u64,
    /// Further runs made because one failed.
    pub retries: u64,
    /// Runs that an agent refused before they started.
    pub refusals: u64,
    /// Sessions that started anew on another version.
    pub session_restarts: u64,
}

/// A workspace with its names resolved.
#[derive(Debug, Default)]
struct Workspace {
    policy: WorkspacePolicy,
    allowed: Vec<VersionIx>,
    tasks: Vec<Option<TaskPolicy>>,
    accounts: Vec<Account>,
    spend: SpendBudget,
}

#[derive(Debug)]
struct RollOutTrial {
    version: VersionIx,
    replaces: VersionIx,
    trial: Trial,
    /// Runs that the new version may still have for those that the old one had.
    credit: f64,
}

/// Plans requests, follows them and learns from them.
#[derive(Debug, Default)]
pub struct Router {
    generation: Generation,
    versions: Names,
    tasks: Names,
    workspace_names: Names,
    server_names: Names,
    states: Vec<Option<VersionState>>,
    services: Vec<VersionIx>,
    workspaces: Vec<Option<Workspace>>,
    roll_outs: Vec<RollOutTrial>,
    estimates: Estimates,
    /// Levels of slack by task.
    levels: Vec<SlackLevel>,
    servers: Servers,
    sessions: Sessions,
    retries: RetryBudget,
    rating_delay_ms: RunningMean,
    rating_misses: u32,
    requests: u64,
    counters: RouterCounters,
}

impl Router {
    /// A router for a process in the given data centre, with no configuration yet.
    pub fn new(data_centre: &str) -> Self {
        let mut router = Router::default();
        router.servers.set_home(data_centre);
        router
    }

    /// Puts a configuration in force, unless one as new is there already; tells whether it did.
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

    /// The generation in force; zero before the first.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Counts since the start.
    pub fn counters(&self) -> RouterCounters {
        self.counters
    }

    /// What a workspace has spent at this process.
    pub fn spent(&self, workspace: &str) -> f64 {
        let workspace = self.workspace_names.find(workspace).and_then(|ix| self.workspace(ix));
        workspace.map_or(0.0, |workspace| workspace.spend.spent())
    }

    /// What a workspace may still spend of its slice at this process; `None` means without limit.
    pub fn remaining_spend(&self, workspace: &str) -> Option<f64> {
        self.workspace_names.find(workspace).and_then(|ix| self.workspace(ix)?.spend.left())
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

    /// Takes over a trip that an agent reported; no effect on versions that are not on trial.
    pub fn trip(&mut self, now: Duration, version: &str, cause: TripCause) {
        let version = self.versions.find(version);
        if let Some(roll_out) = version.and_then(|version| self.roll_out_mut(version)) {
            roll_out.trial.trip(now, cause);
        }
    }

    /// Versions that have tripped, with the cause.
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
            let known = self.roll_outs.iter().find(|known| known.version == version);
            let (trial, credit) = match known {
                Some(known) if known.replaces == replaces => (known.trial, known.credit),
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
        let mut former = std::mem::take(&mut self.workspaces);
        for (name, workspace) in &policy.workspaces {
            let ix = self.workspace_names.intern(name);
            let kept = former.get_mut(ix).and_then(Option::take).unwrap_or_default();
            let resolved = self.resolve(workspace, kept);
            if self.workspaces.len() <= ix {
                self.workspaces.resize_with(ix + 1, || None);
            }
            self.workspaces[ix] = Some(resolved);
        }
    }

    fn resolve(&mut self, policy: &WorkspacePolicy, kept: Workspace) -> Workspace {
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
        let mut spend = kept.spend;
        // NB: a fleet replaces the whole cap by slices of it; a cap that stays keeps its slice.
        if policy.spend_cap.is_some() != kept.policy.spend_cap.is_some() {
            spend.set_limit(policy.spend_cap);
        }
        Workspace { policy: policy.clone(), allowed, tasks, accounts: kept.accounts, spend }
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

    /// Whether a version may take new work of old sessions.
    fn serves_sessions(&self, version: VersionIx) -> bool {
        let state = self.state(version);
        matches!(state, Some(VersionState::Live | VersionState::Retiring))
            && !self.is_tripped(version)
    }

    /// Whether a version may take work that belongs to no old session.
    fn serves_new(&self, version: VersionIx) -> bool {
        self.state(version) == Some(VersionState::Live) && !self.is_tripped(version)
    }

    fn account(&self, workspace: WorkspaceIx, task: TaskIx) -> Account {
        let accounts = self.workspace(workspace).map(|w| w.accounts.as_slice());
        accounts.and_then(|accounts| accounts.get(task)).copied().unwrap_or_default()
    }

    fn level(&self, task: TaskIx) -> SlackLevel {
        self.levels.get(task).copied().unwrap_or_default()
    }

    fn account_mut(&mut self, workspace: WorkspaceIx, task: TaskIx) -> Option<&mut Account> {
        let accounts = &mut self.workspaces.get_mut(workspace)?.as_mut()?.accounts;
        if accounts.len() <= task {
            accounts.resize(task + 1, Account::default());
        }
        accounts.get_mut(task)
    }

    fn rating_outlook(&self) -> RatingOutlook {
        let probing = self.requests.is_multiple_of(u64::from(RATING_PROBE_EVERY));
        let prior_ms = RATING_WAIT_PRIOR.as_secs_f64() * 1e3 / 2.0;
        RatingOutlook {
            delay: crate::plan::from_ms(self.rating_delay_ms.or(prior_ms)),
            up: self.rating_misses < RATING_MISSES_LIMIT || probing,
        }
    }

    fn restart_allowed(&self, workspace: WorkspaceIx) -> bool {
        self.workspace(workspace)
            .is_some_and(|w| w.policy.on_withdrawal == WithdrawalPolicy::Restart)
    }
}
