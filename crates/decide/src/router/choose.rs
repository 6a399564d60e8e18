//! Choice of the version and server for one run.

use std::time::Duration;

use pondwalk_types::Refusal;
use rand::Rng;

use super::{RollOutTrial, Router};
use crate::{
    estimate::reference_cost,
    in_flight::InFlightRequest,
    intern::{ServerIx, VersionIx},
    plan::{Candidate, Choice, Planner, SessionTask},
    servers::ServerQuery,
    tuning::{EXPECTED_SESSION_REQUESTS, MIN_ON_TIME_PROBABILITY, OVERDUE_TRIAL_CREDIT_RUNS},
};

impl Router {
    /// Chooses the version and server of a run that is not an escalation.
    pub(super) fn choose_run<R: Rng + ?Sized>(
        &mut self,
        now: Duration,
        rng: &mut R,
        in_flight: &InFlightRequest,
    ) -> Result<(Choice, ServerIx), Refusal> {
        let mut candidates = self.candidates(now, in_flight)?;
        while !candidates.is_empty() {
            let Some(choice) = self.choose_version(now, in_flight, &candidates) else {
                break;
            };
            let waits = candidates.iter().any(|c| c.version == choice.version && c.wait_ms > 0.0);
            if waits && choice.p_on_time < MIN_ON_TIME_PROBABILITY {
                return Err(Refusal::TooLate { deadline_ms: in_flight.stated_deadline_ms() });
            }
            let choice = self.substitute_trial_version(in_flight, choice);
            if let Some(server) = self.choose_server(now, rng, in_flight, choice.version) {
                return Ok((choice, server));
            }
            candidates.retain(|candidate| candidate.version != choice.version);
        }
        Err(Refusal::NoServer)
    }

    fn choose_version(
        &self,
        now: Duration,
        in_flight: &InFlightRequest,
        candidates: &[Candidate],
    ) -> Option<Choice> {
        let planner = self.planner(in_flight, candidates);
        if in_flight.bound_version.is_some() {
            return candidates
                .first()
                .map(|candidate| planner.choose_bound(in_flight, now, *candidate));
        }
        if in_flight.session.is_none() {
            return planner.choose_first(in_flight, now);
        }
        let session_tasks =
            self.sessions.task_shares(in_flight.workspace).filter_map(|(task, share)| {
                let target = self.target(in_flight.workspace, task)?;
                Some(SessionTask {
                    task,
                    requests: share * EXPECTED_SESSION_REQUESTS,
                    policy: target,
                    balance: self.balance(in_flight.workspace, task),
                    midpoint: self.midpoint(task),
                })
            });
        planner.choose_for_session(in_flight, now, session_tasks)
    }

    pub(super) fn planner<'a>(
        &'a self,
        in_flight: &InFlightRequest,
        candidates: &'a [Candidate],
    ) -> Planner<'a> {
        Planner {
            estimates: &self.estimates,
            balance: self.balance(in_flight.workspace, in_flight.task),
            midpoint: self.midpoint(in_flight.task),
            rating: self.rating_availability(),
            candidates,
        }
    }

    /// Versions that may run the request now, with their expected waits.
    pub(super) fn candidates(
        &self,
        now: Duration,
        in_flight: &InFlightRequest,
    ) -> Result<Vec<Candidate>, Refusal> {
        let candidate = |version: VersionIx| {
            let service_ms = self.estimates.service_ms(version);
            let wait_ms = self.servers.expected_wait_ms(now, version, service_ms);
            Candidate { version, wait_ms }
        };
        if let Some(bound_version) = in_flight.bound_version {
            let hosted = self.servers.is_hosted(bound_version).then(|| candidate(bound_version));
            return hosted.map(|bound_version| vec![bound_version]).ok_or(Refusal::NoServer);
        }
        let workspace = self.workspace(in_flight.workspace).ok_or(Refusal::UnknownCaller)?;
        let runnable = workspace.allowed.iter().filter(|version| {
            self.accepts_new_work(**version)
                && self.servers.is_hosted(**version)
                && !self.is_substitute_only(workspace, **version)
        });
        let candidates: Vec<Candidate> = runnable.map(|version| candidate(*version)).collect();
        if candidates.is_empty() {
            return Err(Refusal::NoServer);
        }
        let affordable = |candidate: &Candidate| {
            let cost =
                self.estimates.cost(candidate.version, in_flight.task, in_flight.prompt_tokens);
            workspace.spend.can_afford(cost)
        };
        let candidates: Vec<Candidate> = candidates.into_iter().filter(affordable).collect();
        if candidates.is_empty() { Err(Refusal::SpendCap) } else { Ok(candidates) }
    }

    /// Whether a version on trial only substitutes for runs of the version that it replaces.
    fn is_substitute_only(&self, workspace: &super::Workspace, version: VersionIx) -> bool {
        let Some(roll_out) = self.roll_out(version) else {
            return false;
        };
        let old = roll_out.replaces;
        workspace.allowed.contains(&old)
            && self.accepts_new_work(old)
            && self.servers.is_hosted(old)
    }

    /// Substitutes a version on trial for the chosen one, within the trial's share.
    ///
    /// The share is counted in runs of the old version, sessions included, and granted to
    /// repeatable requests that can be rated. If too few of these use the old version, some that
    /// would use a cheaper version run on the new one as well.
    pub(super) fn substitute_trial_version(
        &self,
        in_flight: &InFlightRequest,
        choice: Choice,
    ) -> Choice {
        let new =
            self.roll_outs.iter().find(|roll_out| self.can_substitute(in_flight, choice, roll_out));
        match new {
            Some(roll_out) => Choice {
                version: roll_out.version,
                hold: choice.hold || self.can_await_rating(in_flight),
                ..choice
            },
            None => choice,
        }
    }

    fn can_substitute(
        &self,
        in_flight: &InFlightRequest,
        choice: Choice,
        roll_out: &RollOutTrial,
    ) -> bool {
        let RollOutTrial { version: new, replaces: old, ref trial, credit } = *roll_out;
        if in_flight.bound_version.is_some()
            || in_flight.tried_versions.contains(&new)
            || trial.share() == 0.0
        {
            return false;
        }
        let allowed = self.workspace(in_flight.workspace).is_some_and(|w| w.allowed.contains(&new));
        if !allowed || !self.accepts_new_work(new) || !self.servers.is_hosted(new) {
            return false;
        }
        if in_flight.session.is_some() || !in_flight.repeatable {
            return choice.version == old && trial.allows_new_sessions() && credit >= 1.0;
        }
        let cheaper = || {
            let cost = |version| reference_cost(&self.estimates.price(version));
            cost(choice.version) < cost(old)
                && in_flight.answer.is_none()
                && self.can_await_rating(in_flight)
        };
        let overdue = credit >= OVERDUE_TRIAL_CREDIT_RUNS && cheaper();
        (choice.version == old && credit >= 1.0) || overdue
    }

    /// Whether the answer of a version on trial can be held until it is rated.
    fn can_await_rating(&self, in_flight: &InFlightRequest) -> bool {
        in_flight.repeatable
            && !in_flight.streaming
            && in_flight.target.is_some()
            && self.rating_availability().is_available
    }

    pub(super) fn choose_server<R: Rng + ?Sized>(
        &self,
        now: Duration,
        rng: &mut R,
        in_flight: &InFlightRequest,
        version: VersionIx,
    ) -> Option<ServerIx> {
        let query = ServerQuery {
            version,
            service_ms: self.estimates.service_ms(version),
            prefix: in_flight.prefix,
            avoided_servers: &in_flight.avoided_servers,
        };
        self.servers.choose(now, rng, query).map(|(server, _)| server)
    }

    /// Whether a rating could still lead to an escalation.
    pub(super) fn is_hold_worthwhile(&self, now: Duration, in_flight: &InFlightRequest) -> bool {
        let Ok(candidates) = self.candidates(now, in_flight) else {
            return false;
        };
        let availability = self.rating_availability();
        availability.is_available
            && self
                .planner(in_flight, &candidates)
                .choose_escalation(in_flight, now + availability.delay)
                .is_some()
    }
}
