//! Baseline policies that pondwalk is compared with.
//!
//! They choose servers round-robin, learn of each change of a server at once, and do not retry
//! failed runs.

mod oracle;

use std::collections::BTreeMap;

use pondwalk_decide::{NextAction, PlannedRun};
use pondwalk_types::{Policy, Refusal, ServerId, VersionId, VersionState, WorkspacePolicy};

use crate::trace::{RecordedRequest, Trace};

/// Quality from which the fixed cascade accepts an answer.
const CASCADE_THRESHOLD: f64 = 0.7;
/// Maximum time that the fixed cascade waits for a rating.
const CASCADE_RATING_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(500);

/// Kind of a baseline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BaselineKind {
    /// The most expensive allowed version.
    Best,
    /// The cheapest allowed version.
    Cheapest,
    /// From the cheapest to the most expensive version until an answer reaches a fixed quality.
    Cascade,
    /// The cheapest version whose recorded quality meets the target in time.
    Oracle,
    /// Like `Oracle`, but each session stays on the cheapest version that meets its tasks' target
    /// shares.
    PinnedOracle,
}

/// A baseline with its configuration and the servers of each version.
#[derive(Debug)]
pub struct Baseline {
    kind: BaselineKind,
    policy: Policy,
    hosts: BTreeMap<VersionId, Vec<ServerId>>,
    next_server: usize,
    /// Version chosen for each session from the whole trace, by workspace and session.
    pins: BTreeMap<(String, String), VersionId>,
}

/// A request in flight.
#[derive(Debug, Clone)]
pub struct BaselineInFlight {
    versions: Vec<VersionId>,
    next: usize,
    run: usize,
    excluded: Vec<ServerId>,
}

impl BaselineInFlight {
    /// Index of the run whose answer is delivered.
    pub fn answer_run(&self) -> usize {
        self.run
    }
}

impl Baseline {
    /// Creates a baseline without servers.
    pub fn new(kind: BaselineKind) -> Self {
        let (policy, hosts, pins) = (Policy::default(), BTreeMap::new(), BTreeMap::new());
        Baseline { kind, policy, hosts, next_server: 0, pins }
    }

    /// Chooses each session's version from the whole trace, if the baseline is the pinned oracle.
    pub fn prepare_oracle(&mut self, trace: &Trace, policy: &Policy) {
        if self.kind == BaselineKind::PinnedOracle {
            self.pins = oracle::session_pins(trace, policy);
        }
    }

    /// Installs a configuration.
    pub fn install(&mut self, policy: &Policy) {
        self.policy = policy.clone();
    }

    /// Adds a server, or updates the versions that it hosts.
    pub fn update_server(&mut self, server: &str, versions: &[VersionId]) {
        self.deactivate_server(server);
        for version in versions {
            self.hosts.entry(version.clone()).or_default().push(server.to_owned());
        }
    }

    /// Excludes a server from new runs.
    pub fn deactivate_server(&mut self, server: &str) {
        self.hosts.values_mut().for_each(|hosts| hosts.retain(|host| host != server));
    }

    /// Plans the first run of a request, or refuses it.
    pub fn begin(
        &mut self,
        request: &RecordedRequest,
    ) -> Result<(BaselineInFlight, PlannedRun), Refusal> {
        let workspace =
            self.policy.workspaces.get(&request.workspace).ok_or(Refusal::UnknownCaller)?;
        let versions = match &request.service {
            Some(service) => {
                if !workspace.allowed_services.contains(service) {
                    return Err(Refusal::VersionNotAllowed(service.clone()));
                }
                vec![service.clone()]
            }
            None => self.plan(request, workspace),
        };
        let mut in_flight = BaselineInFlight { versions, next: 0, run: 0, excluded: Vec::new() };
        let step = self.step(&mut in_flight)?;
        Ok((in_flight, step))
    }

    /// Handles an agent's refusal of a run: plans it on another server, or refuses the request.
    pub fn on_run_refused(
        &mut self,
        in_flight: &mut BaselineInFlight,
        server: &str,
        refusal: Refusal,
    ) -> NextAction {
        in_flight.excluded.push(server.to_owned());
        in_flight.next -= 1;
        match self.step(in_flight) {
            Ok(step) => NextAction::Run(step),
            Err(_) => NextAction::Refuse(refusal),
        }
    }

    /// Handles a run that completed.
    pub fn on_run_finished(&self, in_flight: &mut BaselineInFlight) -> NextAction {
        in_flight.run = in_flight.next - 1;
        if in_flight.next < in_flight.versions.len() {
            return NextAction::AwaitRating(CASCADE_RATING_TIMEOUT);
        }
        NextAction::Deliver
    }

    /// Handles the rating of the latest answer, or its timeout if `rating` is `None`.
    pub fn on_rating(
        &mut self,
        in_flight: &mut BaselineInFlight,
        rating: Option<f64>,
    ) -> NextAction {
        if rating.is_none_or(|quality| quality >= CASCADE_THRESHOLD) {
            return NextAction::Deliver;
        }
        match self.step(in_flight) {
            Ok(step) => NextAction::Run(step),
            Err(_) => NextAction::Deliver,
        }
    }

    /// Returns the versions to run, in order, until an answer is accepted.
    fn plan(&self, request: &RecordedRequest, workspace: &WorkspacePolicy) -> Vec<VersionId> {
        let mut available: Vec<&VersionId> = workspace
            .allowed_versions
            .iter()
            .filter(|version| self.is_available(version))
            .collect();
        available.sort_by(|a, b| self.reference_cost(a).total_cmp(&self.reference_cost(b)));
        let chosen: Vec<&VersionId> = match self.kind {
            BaselineKind::Best => available.last().into_iter().copied().collect(),
            BaselineKind::Cheapest => available.first().into_iter().copied().collect(),
            BaselineKind::Cascade if request.repeatable => available,
            BaselineKind::Cascade => available.first().into_iter().copied().collect(),
            BaselineKind::Oracle => {
                oracle::choose_version(request, workspace, &available).into_iter().collect()
            }
            BaselineKind::PinnedOracle => {
                let pinned = self.pinned(request).filter(|pin| available.contains(pin));
                let best = || oracle::choose_version(request, workspace, &available);
                pinned.or_else(best).into_iter().collect()
            }
        };
        chosen.into_iter().cloned().collect()
    }

    fn pinned(&self, request: &RecordedRequest) -> Option<&VersionId> {
        let session = request.session.clone()?;
        self.pins.get(&(request.workspace.clone(), session))
    }

    fn is_available(&self, version: &VersionId) -> bool {
        let is_live =
            self.policy.versions.get(version).is_some_and(|spec| spec.state == VersionState::Live);
        is_live && self.hosts.get(version).is_some_and(|hosts| !hosts.is_empty())
    }

    fn reference_cost(&self, version: &VersionId) -> f64 {
        let usage = pondwalk_types::TokenUsage { prompt_tokens: 1_000, output_tokens: 300 };
        self.policy.price_of(version).unwrap_or_default().cost(usage)
    }

    fn step(&mut self, in_flight: &mut BaselineInFlight) -> Result<PlannedRun, Refusal> {
        let version = in_flight.versions.get(in_flight.next).ok_or(Refusal::NoServer)?.clone();
        let hosts = self.hosts.get(&version).map(Vec::as_slice).unwrap_or_default();
        let available: Vec<&ServerId> =
            hosts.iter().filter(|h| !in_flight.excluded.contains(h)).collect();
        if available.is_empty() {
            return Err(Refusal::NoServer);
        }
        let server = available[self.next_server % available.len()].clone();
        self.next_server += 1;
        in_flight.next += 1;
        let timeout = (in_flight.next < in_flight.versions.len()).then_some(CASCADE_RATING_TIMEOUT);
        Ok(PlannedRun {
            version,
            server,
            rating_timeout: timeout,
            on_trial: false,
            fallback_deadline: None,
        })
    }
}
