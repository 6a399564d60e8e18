//! The policies that pondwalk is compared with.
//!
//! They choose servers in turn, know each server's state at once, and make no retries.

mod hindsight;

use std::collections::BTreeMap;

use pondwalk_decide::{NextAction, PlannedRun};
use pondwalk_types::{Policy, Refusal, ServerId, VersionId, VersionState, WorkspacePolicy};

use crate::trace::{RecordedRequest, Trace};

/// Quality at which the fixed cascade is content.
const CASCADE_THRESHOLD: f64 = 0.7;
/// Longest wait of the fixed cascade for a rating.
const CASCADE_PATIENCE: std::time::Duration = std::time::Duration::from_millis(500);

/// Which baseline it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BaselineKind {
    /// The dearest version allowed.
    Best,
    /// The cheapest version allowed.
    Cheapest,
    /// From the cheapest to the dearest until an answer passes a fixed threshold.
    Cascade,
    /// The cheapest version whose recorded quality meets the target in time.
    Oracle,
    /// The same, but each session keeps the cheapest version that meets its tasks' shares.
    PinnedOracle,
}

/// A baseline and what it knows of the fleet.
#[derive(Debug)]
pub struct Baseline {
    kind: BaselineKind,
    policy: Policy,
    hosts: BTreeMap<VersionId, Vec<ServerId>>,
    turn: usize,
    /// In hindsight, the version for each session; by workspace and session.
    pins: BTreeMap<(String, String), VersionId>,
}

/// A request under way.
#[derive(Debug, Clone)]
pub struct BaselineFlight {
    versions: Vec<VersionId>,
    next: usize,
    run: usize,
    avoid: Vec<ServerId>,
}

impl BaselineFlight {
    /// Number of the run whose answer is delivered.
    pub fn answer_run(&self) -> usize {
        self.run
    }
}

impl Baseline {
    /// A baseline with no servers yet.
    pub fn new(kind: BaselineKind) -> Self {
        let (policy, hosts, pins) = (Policy::default(), BTreeMap::new(), BTreeMap::new());
        Baseline { kind, policy, hosts, turn: 0, pins }
    }

    /// Looks at the whole trace to choose each session's version.
    pub fn foresee(&mut self, trace: &Trace, policy: &Policy) {
        if self.kind == BaselineKind::PinnedOracle {
            self.pins = hindsight::pins(trace, policy);
        }
    }

    /// Takes over a configuration.
    pub fn install(&mut self, policy: &Policy) {
        self.policy = policy.clone();
    }

    /// A server starts, or hosts other versions.
    pub fn server_seen(&mut self, server: &str, versions: &[VersionId]) {
        self.server_leaving(server);
        for version in versions {
            self.hosts.entry(version.clone()).or_default().push(server.to_owned());
        }
    }

    /// A server gets no new work.
    pub fn server_leaving(&mut self, server: &str) {
        self.hosts.values_mut().for_each(|hosts| hosts.retain(|host| host != server));
    }

    /// Plans a request.
    pub fn begin(
        &mut self,
        request: &RecordedRequest,
    ) -> Result<(BaselineFlight, PlannedRun), Refusal> {
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
        let mut flight = BaselineFlight { versions, next: 0, run: 0, avoid: Vec::new() };
        let step = self.step(&mut flight)?;
        Ok((flight, step))
    }

    /// The agent refused the run.
    pub fn refused(
        &mut self,
        flight: &mut BaselineFlight,
        server: &str,
        refusal: Refusal,
    ) -> NextAction {
        flight.avoid.push(server.to_owned());
        flight.next -= 1;
        match self.step(flight) {
            Ok(step) => NextAction::Run(step),
            Err(_) => NextAction::Refuse(refusal),
        }
    }

    /// The run ended whole.
    pub fn finished(&self, flight: &mut BaselineFlight) -> NextAction {
        flight.run = flight.next - 1;
        if flight.next < flight.versions.len() {
            return NextAction::AwaitRating(CASCADE_PATIENCE);
        }
        NextAction::Deliver
    }

    /// The answer in hand was rated, or no rating came.
    pub fn judged(&mut self, flight: &mut BaselineFlight, rating: Option<f64>) -> NextAction {
        if rating.is_none_or(|quality| quality >= CASCADE_THRESHOLD) {
            return NextAction::Deliver;
        }
        match self.step(flight) {
            Ok(step) => NextAction::Run(step),
            Err(_) => NextAction::Deliver,
        }
    }

    /// Versions to run, one after the other while answers are poor.
    fn plan(&self, request: &RecordedRequest, workspace: &WorkspacePolicy) -> Vec<VersionId> {
        let mut open: Vec<&VersionId> =
            workspace.allowed_versions.iter().filter(|version| self.is_open(version)).collect();
        open.sort_by(|a, b| self.reference_cost(a).total_cmp(&self.reference_cost(b)));
        let chosen: Vec<&VersionId> = match self.kind {
            BaselineKind::Best => open.last().into_iter().copied().collect(),
            BaselineKind::Cheapest => open.first().into_iter().copied().collect(),
            BaselineKind::Cascade if request.repeatable => open,
            BaselineKind::Cascade => open.first().into_iter().copied().collect(),
            BaselineKind::Oracle => {
                hindsight::version(request, workspace, &open).into_iter().collect()
            }
            BaselineKind::PinnedOracle => {
                let pinned = self.pinned(request).filter(|pin| open.contains(pin));
                let free = || hindsight::version(request, workspace, &open);
                pinned.or_else(free).into_iter().collect()
            }
        };
        chosen.into_iter().cloned().collect()
    }

    fn pinned(&self, request: &RecordedRequest) -> Option<&VersionId> {
        let session = request.session.clone()?;
        self.pins.get(&(request.workspace.clone(), session))
    }

    fn is_open(&self, version: &VersionId) -> bool {
        let live =
            self.policy.versions.get(version).is_some_and(|spec| spec.state == VersionState::Live);
        live && self.hosts.get(version).is_some_and(|hosts| !hosts.is_empty())
    }

    fn reference_cost(&self, version: &VersionId) -> f64 {
        let usage = pondwalk_types::TokenUsage { prompt_tokens: 1_000, output_tokens: 300 };
        self.policy.price_of(version).unwrap_or_default().cost(usage)
    }

    fn step(&mut self, flight: &mut BaselineFlight) -> Result<PlannedRun, Refusal> {
        let version = flight.versions.get(flight.next).ok_or(Refusal::NoServer)?.clone();
        let hosts = self.hosts.get(&version).map(Vec::as_slice).unwrap_or_default();
        let open: Vec<&ServerId> = hosts.iter().filter(|h| !flight.avoid.contains(h)).collect();
        if open.is_empty() {
            return Err(Refusal::NoServer);
        }
        let server = open[self.turn % open.len()].clone();
        self.turn += 1;
        flight.next += 1;
        let hold = (flight.next < flight.versions.len()).then_some(CASCADE_PATIENCE);
        Ok(PlannedRun {
            version,
            server,
            rating_timeout: hold,
            on_trial: false,
            fallback_deadline: None,
        })
    }
}
