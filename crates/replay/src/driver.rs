//! Common interface of pondwalk's router and the baselines.

use std::time::Duration;

use pondwalk_decide::{
    DeliveredAnswer, FinishedRun, InFlightRequest, NextAction, PlannedRun, Request, Router,
    ServerReport,
};
use pondwalk_types::{Executed, Generation, Policy, Refusal, VersionId};
use rand_pcg::Pcg64Mcg;

use crate::{
    baseline::{Baseline, BaselineInFlight, BaselineKind},
    trace::{RecordedRequest, Trace},
};

/// Name of a routing policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PolicyName {
    /// Pondwalk's router.
    Pondwalk,
    /// A baseline for comparison.
    Baseline(BaselineKind),
}

impl PolicyName {
    /// All names that [`PolicyName::parse`] accepts.
    pub const NAMES: [&'static str; 6] =
        ["pondwalk", "best", "cheapest", "cascade", "oracle", "pinned-oracle"];

    /// Parses a name; returns `None` if it is unknown.
    pub fn parse(name: &str) -> Option<Self> {
        match name {
            "pondwalk" => Some(PolicyName::Pondwalk),
            "best" => Some(PolicyName::Baseline(BaselineKind::Best)),
            "cheapest" => Some(PolicyName::Baseline(BaselineKind::Cheapest)),
            "cascade" => Some(PolicyName::Baseline(BaselineKind::Cascade)),
            "oracle" => Some(PolicyName::Baseline(BaselineKind::Oracle)),
            "pinned-oracle" => Some(PolicyName::Baseline(BaselineKind::PinnedOracle)),
            _ => None,
        }
    }

    /// Returns the name as text.
    pub fn name(self) -> &'static str {
        match self {
            PolicyName::Pondwalk => "pondwalk",
            PolicyName::Baseline(BaselineKind::Best) => "best",
            PolicyName::Baseline(BaselineKind::Cheapest) => "cheapest",
            PolicyName::Baseline(BaselineKind::Cascade) => "cascade",
            PolicyName::Baseline(BaselineKind::Oracle) => "oracle",
            PolicyName::Baseline(BaselineKind::PinnedOracle) => "pinned-oracle",
        }
    }
}

/// The policy under test, with its random source.
#[derive(Debug)]
pub struct Driver {
    state: PolicyState,
    rng: Pcg64Mcg,
}

#[derive(Debug)]
enum PolicyState {
    Pondwalk(Box<Router>),
    Baseline(Baseline),
}

/// A request in flight.
#[derive(Debug)]
pub enum DriverInFlight {
    /// State of pondwalk's router for the request.
    Pondwalk(Box<InFlightRequest>),
    /// State of a baseline for the request.
    Baseline(BaselineInFlight),
}

impl Driver {
    /// Creates a policy whose random source starts from `seed`.
    pub fn new(name: PolicyName, seed: u64) -> Self {
        let state = match name {
            PolicyName::Pondwalk => PolicyState::Pondwalk(Box::new(Router::new("replay"))),
            PolicyName::Baseline(kind) => PolicyState::Baseline(Baseline::new(kind)),
        };
        Driver { state, rng: Pcg64Mcg::new(u128::from(seed) | 1 << 64) }
    }

    /// Gives the whole trace to an oracle; other policies ignore it.
    pub fn prepare_oracle(&mut self, trace: &Trace, policy: &Policy) {
        if let PolicyState::Baseline(baseline) = &mut self.state {
            baseline.prepare_oracle(trace, policy);
        }
    }

    /// Returns pondwalk's router, unless the policy is a baseline.
    pub fn router(&self) -> Option<&Router> {
        match &self.state {
            PolicyState::Pondwalk(router) => Some(router),
            PolicyState::Baseline(_) => None,
        }
    }

    /// Installs a configuration.
    pub fn install(&mut self, generation: Generation, policy: &Policy) {
        match &mut self.state {
            PolicyState::Pondwalk(router) => {
                router.install(generation, policy);
            }
            PolicyState::Baseline(baseline) => baseline.install(policy),
        }
    }

    /// Adds a server, or updates the versions that it hosts.
    pub fn update_server(&mut self, now: Duration, report: &ServerReport) {
        match &mut self.state {
            PolicyState::Pondwalk(router) => router.update_server(now, report),
            PolicyState::Baseline(baseline) => {
                baseline.update_server(&report.server, &report.versions)
            }
        }
    }

    /// Excludes a server from new runs.
    pub fn deactivate_server(&mut self, server: &str) {
        match &mut self.state {
            PolicyState::Pondwalk(router) => router.deactivate_server(server),
            PolicyState::Baseline(baseline) => baseline.deactivate_server(server),
        }
    }

    /// Plans the first run of a request, or refuses it.
    pub fn begin(
        &mut self,
        now: Duration,
        request: &RecordedRequest,
    ) -> Result<(DriverInFlight, PlannedRun), Refusal> {
        match &mut self.state {
            PolicyState::Pondwalk(router) => {
                let decision_request = decision_request(now, request);
                let (in_flight, step) = router.begin(now, &mut self.rng, &decision_request)?;
                Ok((DriverInFlight::Pondwalk(Box::new(in_flight)), step))
            }
            PolicyState::Baseline(baseline) => {
                let (in_flight, step) = baseline.begin(request)?;
                Ok((DriverInFlight::Baseline(in_flight), step))
            }
        }
    }

    /// Handles an agent's refusal of a run that has not started.
    pub fn on_run_refused(
        &mut self,
        now: Duration,
        in_flight: &mut DriverInFlight,
        server: &str,
        refusal: Refusal,
    ) -> NextAction {
        match (&mut self.state, in_flight) {
            (PolicyState::Pondwalk(router), DriverInFlight::Pondwalk(in_flight)) => {
                router.on_run_refused(now, &mut self.rng, in_flight, refusal)
            }
            (PolicyState::Baseline(baseline), DriverInFlight::Baseline(in_flight)) => {
                baseline.on_run_refused(in_flight, server, refusal)
            }
            _ => NextAction::Refuse(refusal),
        }
    }

    /// Handles a run that failed or was interrupted, at a cost of `spent`.
    pub fn on_run_failed(
        &mut self,
        now: Duration,
        in_flight: &mut DriverInFlight,
        ran: Executed,
        spent: f64,
        refusal: Refusal,
    ) -> NextAction {
        match (&mut self.state, in_flight) {
            (PolicyState::Pondwalk(router), DriverInFlight::Pondwalk(in_flight)) => {
                router.on_run_failed(now, &mut self.rng, in_flight, ran, spent, refusal)
            }
            _ => NextAction::Refuse(refusal),
        }
    }

    /// Handles a run that completed.
    pub fn on_run_finished(
        &mut self,
        now: Duration,
        in_flight: &mut DriverInFlight,
        done: FinishedRun,
    ) -> NextAction {
        match (&mut self.state, in_flight) {
            (PolicyState::Pondwalk(router), DriverInFlight::Pondwalk(in_flight)) => {
                router.on_run_finished(now, in_flight, done)
            }
            (PolicyState::Baseline(baseline), DriverInFlight::Baseline(in_flight)) => {
                baseline.on_run_finished(in_flight)
            }
            _ => NextAction::Deliver,
        }
    }

    /// Handles the rating of the latest answer, or its timeout if `rating` is `None`.
    pub fn on_rating(
        &mut self,
        now: Duration,
        in_flight: &mut DriverInFlight,
        rating: Option<(f64, Duration)>,
    ) -> NextAction {
        match (&mut self.state, in_flight) {
            (PolicyState::Pondwalk(router), DriverInFlight::Pondwalk(in_flight)) => {
                router.on_rating(now, &mut self.rng, in_flight, rating)
            }
            (PolicyState::Baseline(baseline), DriverInFlight::Baseline(in_flight)) => {
                baseline.on_rating(in_flight, rating.map(|(quality, _)| quality))
            }
            _ => NextAction::Deliver,
        }
    }

    /// Cancels the run in flight in favour of an answer that is already available.
    pub fn cancel_run(&mut self, now: Duration, in_flight: &mut DriverInFlight, spent: f64) {
        if let (PolicyState::Pondwalk(router), DriverInFlight::Pondwalk(in_flight)) =
            (&mut self.state, in_flight)
        {
            router.cancel_run(now, in_flight, spent);
        }
    }

    /// Records that the answer was delivered. Returns the index of its run, and the record for a
    /// late rating.
    pub fn on_delivered(
        &mut self,
        now: Duration,
        in_flight: &mut DriverInFlight,
    ) -> (Option<usize>, Option<DeliveredAnswer>) {
        match (&mut self.state, in_flight) {
            (PolicyState::Pondwalk(router), DriverInFlight::Pondwalk(in_flight)) => {
                (in_flight.answer_run_index(), router.on_delivered(now, in_flight))
            }
            (_, DriverInFlight::Baseline(in_flight)) => (Some(in_flight.answer_run()), None),
            _ => (None, None),
        }
    }

    /// Handles a rating that arrives after the answer was delivered.
    pub fn on_late_rating(
        &mut self,
        now: Duration,
        receipt: &DeliveredAnswer,
        delay: Duration,
        quality: f64,
    ) {
        if let PolicyState::Pondwalk(router) = &mut self.state {
            router.on_late_rating(now, receipt, delay, quality);
        }
    }

    /// Returns the time at which the policy tripped a version, if it has.
    pub fn tripped(&self, version: &VersionId) -> Option<Duration> {
        self.router()?.trial(version)?.tripped_at()
    }
}

fn decision_request(now: Duration, request: &RecordedRequest) -> Request<'_> {
    Request {
        workspace: &request.workspace,
        task: &request.task,
        session: request.session.as_deref(),
        pin: None,
        service: request.service.as_deref(),
        version: None,
        prompt_tokens: request.prompt_tokens,
        prefix: request.prefix.as_deref().map(fnv1a),
        arrived: now,
        deadline: now + request.deadline,
        repeatable: request.repeatable,
        streaming: false,
    }
}

/// FNV-1a hash (Fowler, Noll and Vo), which suits short texts such as names of prefixes.
fn fnv1a(text: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    text.bytes().fold(OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}
