//! The choice of version and server for one run.

use std::time::Duration;

use pondwalk_types::Refusal;
use rand::Rng;

use super::{RollOutTrial, Router};
use crate::{
    estimate::reference_cost,
    flight::InFlightRequest,
    intern::{ServerIx, VersionIx},
    plan::{Candidate, Choice, Planner, SessionTask},
    servers::Wanted,
    tuning::{HOPELESS, SESSION_REQUESTS, TRIAL_OVERDUE},
};

impl Router {
    /// Chooses version and server for a run whose answer would be the first in hand.
    pub(super) fn choose<R: Rng + ?Sized>(
        &mut self,
        now: Duration,
        rng: &mut R,
        flight: &InFlightRequest,
    ) -> Result<(Choice, ServerIx), Refusal> {
        let mut candidates = self.candidates(now, flight)?;
        while !candidates.is_empty() {
            let Some(choice) = self.choose_version(now, flight, &candidates) else {
                break;
            };
            let waits = candidates.iter().any(|c| c.version == choice.version && c.wait_ms > 0.0);
            if waits && choice.on_time < HOPELESS {
                return Err(Refusal::TooLate { deadline_ms: flight.stated_deadline_ms() });
            }
            let choice = self.on_trial_instead(flight, choice);
            if let Some(server) = self.server_for(now, rng, flight, choice.version) {
                return Ok((choice, server));
            }
            candidates.retain(|candidate| candidate.version != choice.version);
        }
        Err(Refusal::NoServer)
    }

    fn choose_version(
        &self,
        now: Duration,
        flight: &InFlightRequest,
        candidates: &[Candidate],
    ) -> Option<Choice> {
        let planner = self.planner(flight, candidates);
        if flight.only.is_some() {
            return candidates.first().map(|candidate| planner.only(flight, now, *candidate));
        }
        if flight.session.is_none() {
            return planner.first(flight, now);
        }
        let mix = self.sessions.mix(flight.workspace).filter_map(|(task, share)| {
            let target = self.target(flight.workspace, task)?;
            Some(SessionTask {
                task,
                requests: share * SESSION_REQUESTS,
                policy: target,
                account: self.account(flight.workspace, task),
                level: self.level(task),
            })
        });
        planner.session(flight, now, mix)
    }

    pub(super) fn planner<'a>(
        &'a self,
        flight: &InFlightRequest,
        candidates: &'a [Candidate],
    ) -> Planner<'a> {
        Planner {
            estimates: &self.estimates,
            account: self.account(flight.workspace, flight.task),
            level: self.level(flight.task),
            rating: self.rating_outlook(),
            candidates,
        }
    }

    /// Versions that may run the request now.
    pub(super) fn candidates(
        &self,
        now: Duration,
        flight: &InFlightRequest,
    ) -> Result<Vec<Candidate>, Refusal> {
        let candidate = |version: VersionIx| {
            let service_ms = self.estimates.service_ms(version);
            let wait_ms = self.servers.expected_wait_ms(now, version, service_ms);
            Candidate { version, wait_ms }
        };
        if let Some(only) = flight.only {
            let hosted = self.servers.hosts(only).then(|| candidate(only));
            return hosted.map(|only| vec![only]).ok_or(Refusal::NoServer);
        }
        let workspace = self.workspace(flight.workspace).ok_or(Refusal::UnknownCaller)?;
        let open = workspace.allowed.iter().filter(|version| {
            self.serves_new(**version)
                && self.servers.hosts(**version)
                && !self.waits_for_evidence(workspace, **version)
        });
        let candidates: Vec<Candidate> = open.map(|version| candidate(*version)).collect();
        if candidates.is_empty() {
            return Err(Refusal::NoServer);
        }
        let affordable = |candidate: &Candidate| {
            let cost = self.estimates.cost(candidate.version, flight.task, flight.prompt_tokens);
            workspace.spend.affords(cost)
        };
        let candidates: Vec<Candidate> = candidates.into_iter().filter(affordable).collect();
        if candidates.is_empty() { Err(Refusal::SpendCap) } else { Ok(candidates) }
    }

    /// Whether a version on trial gets work only in place of the version that it replaces.
    fn waits_for_evidence(&self, workspace: &super::Workspace, version: VersionIx) -> bool {
        let Some(roll_out) = self.roll_out(version) else {
            return false;
        };
        let old = roll_out.replaces;
        workspace.allowed.contains(&old) && self.serves_new(old) && self.servers.hosts(old)
    }

    /// Puts a version on trial in the place of another, within its share.
    ///
    /// The share is counted in runs of the old version, those of sessions included, and given out
    /// to requests that can be judged and repeated. Where too few of them would use the old
    /// version anyway, some that would use a cheaper one go to the new version as well.
    pub(super) fn on_trial_instead(&self, flight: &InFlightRequest, choice: Choice) -> Choice {
        let new = self.roll_outs.iter().find(|roll_out| self.takes_over(flight, choice, roll_out));
        match new {
            Some(roll_out) => Choice {
                version: roll_out.version,
                hold: choice.hold || self.may_judge(flight),
                ..choice
            },
            None => choice,
        }
    }

    fn takes_over(
        &self,
        flight: &InFlightRequest,
        choice: Choice,
        roll_out: &RollOutTrial,
    ) -> bool {
        let RollOutTrial { version: new, replaces: old, ref trial, credit } = *roll_out;
        if flight.only.is_some() || flight.tried.contains(&new) || trial.share() == 0.0 {
            return false;
        }
        let allowed = self.workspace(flight.workspace).is_some_and(|w| w.allowed.contains(&new));
        if !allowed || !self.serves_new(new) || !self.servers.hosts(new) {
            return false;
        }
        if flight.session.is_some() || !flight.repeatable {
            return choice.version == old && trial.allows_new_sessions() && credit >= 1.0;
        }
        let cheaper = || {
            let cost = |version| reference_cost(&self.estimates.price(version));
            cost(choice.version) < cost(old) && flight.answer.is_none() && self.may_judge(flight)
        };
        let overdue = credit >= TRIAL_OVERDUE && cheaper();
        (choice.version == old && credit >= 1.0) || overdue
    }

    /// Whether an answer of a version on trial should be rated before it is shown.
    fn may_judge(&self, flight: &InFlightRequest) -> bool {
        flight.repeatable
            && !flight.streaming
            && flight.target.is_some()
            && self.rating_outlook().up
    }

    pub(super) fn server_for<R: Rng + ?Sized>(
        &self,
        now: Duration,
        rng: &mut R,
        flight: &InFlightRequest,
        version: VersionIx,
    ) -> Option<ServerIx> {
        let wanted = Wanted {
            version,
            service_ms: self.estimates.service_ms(version),
            prefix: flight.prefix,
            avoid: &flight.avoid,
        };
        self.servers.choose(now, rng, wanted).map(|(server, _)| server)
    }

    /// Whether a rating could still change what is delivered.
    pub(super) fn worth_holding(&self, now: Duration, flight: &InFlightRequest) -> bool {
        let Ok(candidates) = self.candidates(now, flight) else {
            return false;
        };
        let outlook = self.rating_outlook();
        outlook.up
            && self.planner(flight, &candidates).rescue(flight, now + outlook.delay).is_some()
    }
}
