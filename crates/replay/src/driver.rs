//! One face for pondwalk's router and the baselines.

use std::time::Duration;

use pondwalk_decide::{
    DeliveredAnswer, FinishedRun, InFlightRequest, NextAction, PlannedRun, Request, Router,
    ServerReport,
};
use pondwalk_types::{Executed, Generation, Policy, Refusal, VersionId};
use rand_pcg::Pcg64Mcg;

use crate::{
    baseline::{Baseline, BaselineFlight, BaselineKind},
    trace::{RecordedRequest, Trace},
};

/// Which policy decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PolicyName {
    /// The product's own.
    Pondwalk,
    /// One of those that it is compared with.
    Baseline(BaselineKind),
}

impl PolicyName {
    /// All names that [`PolicyName::parse`] knows.
    pub const NAMES: [&'static str; 6] =
        ["pondwalk", "best", "cheapest", "cascade", "oracle", "pinned-oracle"];

    /// Reads a name.
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

    /// The name.
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

/// The policy under test, with its source of random numbers.
#[derive(Debug)]
pub struct Driver {
    chosen: Chosen,
    rng: Pcg64Mcg,
}

#[derive(Debug)]
enum Chosen {
    Pondwalk(Box<Router>),
    Baseline(Baseline),
}

/// A request under way.
#[derive(Debug)]
pub enum DriverFlight {
    /// With pondwalk's router.
    Pondwalk(Box<InFlightRequest>),
    /// With a baseline.
    Baseline(BaselineFlight),
}

impl Driver {
    /// A policy with a seed.
    pub fn new(name: PolicyName, seed: u64) -> Self {
        let chosen = match name {
            PolicyName::Pondwalk => Chosen::Pondwalk(Box::new(Router::new("replay"))),
            PolicyName::Baseline(kind) => Chosen::Baseline(Baseline::new(kind)),
        };
        Driver { chosen, rng: Pcg64Mcg::new(u128::from(seed) | 1 << 64) }
    }

    /// Lets an oracle look at the whole trace.
    pub fn foresee(&mut self, trace: &Trace, policy: &Policy) {
        if let Chosen::Baseline(baseline) = &mut self.chosen {
            baseline.foresee(trace, policy);
        }
    }

    /// Pondwalk's router, if it is what decides.
    pub fn router(&self) -> Option<&Router> {
        match &self.chosen {
            Chosen::Pondwalk(router) => Some(router),
            Chosen::Baseline(_) => None,
        }
    }

    /// Puts a configuration in force.
    pub fn install(&mut self, generation: Generation, policy: &Policy) {
        match &mut self.chosen {
            Chosen::Pondwalk(router) => {
                router.install(generation, policy);
            }
            Chosen::Baseline(baseline) => baseline.install(policy),
        }
    }

    /// A server starts, or hosts other versions.
    pub fn server_seen(&mut self, now: Duration, report: &ServerReport) {
        match &mut self.chosen {
            Chosen::Pondwalk(router) => router.update_server(now, report),
            Chosen::Baseline(baseline) => baseline.server_seen(&report.server, &report.versions),
        }
    }

    /// A server gets no new work.
    pub fn server_leaving(&mut self, server: &str) {
        match &mut self.chosen {
            Chosen::Pondwalk(router) => router.deactivate_server(server),
            Chosen::Baseline(baseline) => baseline.server_leaving(server),
        }
    }

    /// Plans a request.
    pub fn begin(
        &mut self,
        now: Duration,
        request: &RecordedRequest,
    ) -> Result<(DriverFlight, PlannedRun), Refusal> {
        match &mut self.chosen {
            Chosen::Pondwalk(router) => {
                let facts = facts(now, request);
                let (flight, step) = router.begin(now, &mut self.rng, &facts)?;
                Ok((DriverFlight::Pondwalk(Box::new(flight)), step))
            }
            Chosen::Baseline(baseline) => {
                let (flight, step) = baseline.begin(request)?;
                Ok((DriverFlight::Baseline(flight), step))
            }
        }
    }

    /// An agent refused a run before it started.
    pub fn refused(
        &mut self,
        now: Duration,
        flight: &mut DriverFlight,
        server: &str,
        refusal: Refusal,
    ) -> NextAction {
        match (&mut self.chosen, flight) {
            (Chosen::Pondwalk(router), DriverFlight::Pondwalk(flight)) => {
                router.on_run_refused(now, &mut self.rng, flight, refusal)
            }
            (Chosen::Baseline(baseline), DriverFlight::Baseline(flight)) => {
                baseline.refused(flight, server, refusal)
            }
            _ => NextAction::Refuse(refusal),
        }
    }

    /// A run failed or was cut.
    pub fn failed(
        &mut self,
        now: Duration,
        flight: &mut DriverFlight,
        ran: Executed,
        spent: f64,
        refusal: Refusal,
    ) -> NextAction {
        match (&mut self.chosen, flight) {
            (Chosen::Pondwalk(router), DriverFlight::Pondwalk(flight)) => {
                router.on_run_failed(now, &mut self.rng, flight, ran, spent, refusal)
            }
            _ => NextAction::Refuse(refusal),
        }
    }

    /// A run ended whole.
    pub fn finished(
        &mut self,
        now: Duration,
        flight: &mut DriverFlight,
        done: FinishedRun,
    ) -> NextAction {
        match (&mut self.chosen, flight) {
            (Chosen::Pondwalk(router), DriverFlight::Pondwalk(flight)) => {
                router.on_run_finished(now, flight, done)
            }
            (Chosen::Baseline(baseline), DriverFlight::Baseline(flight)) => {
                baseline.finished(flight)
            }
            _ => NextAction::Deliver,
        }
    }

    /// The answer in hand was rated, or no rating came.
    pub fn judged(
        &mut self,
        now: Duration,
        flight: &mut DriverFlight,
        rating: Option<(f64, Duration)>,
    ) -> NextAction {
        match (&mut self.chosen, flight) {
            (Chosen::Pondwalk(router), DriverFlight::Pondwalk(flight)) => {
                router.on_rating(now, &mut self.rng, flight, rating)
            }
            (Chosen::Baseline(baseline), DriverFlight::Baseline(flight)) => {
                baseline.judged(flight, rating.map(|(quality, _)| quality))
            }
            _ => NextAction::Deliver,
        }
    }

    /// The run under way is dropped for the answer in hand.
    pub fn cut_short(&mut self, now: Duration, flight: &mut DriverFlight, spent: f64) {
        if let (Chosen::Pondwalk(router), DriverFlight::Pondwalk(flight)) =
            (&mut self.chosen, flight)
        {
            router.cancel_run(now, flight, spent);
        }
    }

    /// An answer was delivered; also names the run that gave it.
    pub fn delivered(
        &mut self,
        now: Duration,
        flight: &mut DriverFlight,
    ) -> (Option<usize>, Option<DeliveredAnswer>) {
        match (&mut self.chosen, flight) {
            (Chosen::Pondwalk(router), DriverFlight::Pondwalk(flight)) => {
                (flight.answer_run_index(), router.on_delivered(now, flight))
            }
            (_, DriverFlight::Baseline(flight)) => (Some(flight.answer_run()), None),
            _ => (None, None),
        }
    }

    /// A rating came for an answer delivered before.
    pub fn rated(
        &mut self,
        now: Duration,
        receipt: &DeliveredAnswer,
        delay: Duration,
        quality: f64,
    ) {
        if let Chosen::Pondwalk(router) = &mut self.chosen {
            router.on_late_rating(now, receipt, delay, quality);
        }
    }

    /// Versions that the policy has stopped by itself.
    pub fn tripped(&self, version: &VersionId) -> Option<Duration> {
        self.router()?.trial(version)?.tripped_at()
    }
}

fn facts(now: Duration, request: &RecordedRequest) -> Request<'_> {
    Request {
        workspace: &request.workspace,
        task: &request.task,
        session: request.session.as_deref(),
        pin: None,
        service: request.service.as_deref(),
        version: None,
        prompt_tokens: request.prompt_tokens,
        prefix: request.prefix.as_deref().map(fingerprint),
        arrived: now,
        deadline: now + request.deadline,
        repeatable: request.repeatable,
        streaming: false,
    }
}

/// FNV-1a (Fowler, Noll and Vo), as the name of a prefix is short.
fn fingerprint(text: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    text.bytes().fold(OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}
