//! The choice of version: what each option costs, in money and in promises put at risk.
//!
//! All terms are in the workspace's currency. Quality and lateness are priced in runs of the
//! dearest version that the workspace may use, so that the balance between money and quality
//! does not depend on the price level.

use std::time::Duration;

use pondwalk_types::TaskPolicy;

use crate::{
    account::Account,
    estimate::Estimates,
    flight::Flight,
    intern::{TaskIx, VersionIx},
    tuning::{DELIVERY_MARGIN, FIRST_TOKEN_BOUND, HOLD_PENALTY, LATE_PENALTY},
};

/// A version that may run now.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// The version.
    pub version: VersionIx,
    /// Expected wait for a slot, in milliseconds.
    pub wait_ms: f64,
}

/// How ratings are coming in.
#[derive(Debug, Clone, Copy)]
pub struct RatingOutlook {
    /// Usual time from an answer to its rating.
    pub delay: Duration,
    /// Whether it is worth waiting for one now.
    pub up: bool,
}

/// The version chosen for a run.
#[derive(Debug, Clone, Copy)]
pub struct Choice {
    /// The version.
    pub version: VersionIx,
    /// Whether its answer should wait for a rating.
    pub hold: bool,
    /// Probability that the delivered answer meets the target.
    pub meets: f64,
    /// Probability that the run ends in time.
    pub on_time: f64,
    /// Expected cost of this run.
    pub cost: f64,
    /// Value compared; the least wins.
    pub value: f64,
}

/// Everything that the comparison of options reads.
pub struct Planner<'a> {
    /// What is known of versions.
    pub estimates: &'a Estimates,
    /// The workspace's account for the task.
    pub account: Account,
    /// How ratings are coming in.
    pub rating: RatingOutlook,
    /// Versions that may run.
    pub candidates: &'a [Candidate],
}

impl Planner<'_> {
    /// The best first run of a request that is not bound to a version.
    pub fn first(&self, flight: &Flight, now: Duration) -> Option<Choice> {
        let reference = self.reference_cost(flight);
        let choices = self.candidates.iter().filter(|c| !flight.tried.contains(&c.version));
        let choices = choices.map(|candidate| self.assess(flight, now, *candidate, reference));
        choices.min_by(|a, b| a.value.total_cmp(&b.value))
    }

    /// The run worth making after an answer that missed its target, if any is.
    pub fn rescue(&self, flight: &Flight, now: Duration) -> Option<Choice> {
        let poor = flight.answer?.version;
        let task = flight.target?;
        let reference = self.reference_cost(flight);
        let keep = reference * self.account.penalty(task, false);
        let left = flight.time_left(now);
        self.best_rescue(flight, poor, task, left, reference).filter(|choice| choice.value < keep)
    }

    /// The version for a new session, given what its workspace's sessions ask for.
    ///
    /// `mix` yields each task with its expected number of requests, target and account.
    pub fn session<I>(&self, flight: &Flight, now: Duration, mix: I) -> Option<Choice>
    where
        I: Iterator<Item = (TaskIx, f64, TaskPolicy, Account)> + Clone,
    {
        let choices = self.candidates.iter().filter(|c| !flight.tried.contains(&c.version));
        let choices = choices.map(|candidate| {
            let mut choice = self.single(flight, now, *candidate, self.reference_cost(flight));
            // NB: decides alone where no task of the sessions has a target.
            let tie_break = choice.cost * 1e-3;
            let costs = mix.clone().map(|(task, requests, policy, account)| {
                let reference = self.reference_cost_of(task, flight.prompt_tokens);
                let cost = self.estimates.cost(candidate.version, task, flight.prompt_tokens);
                let meets = self.estimates.meets(candidate.version, task, policy.quality_target);
                let late = self.estimates.of(candidate.version, task).late;
                let late = LATE_PENALTY * late.with_prior(0.01, 4.0);
                let penalty = account.expected_penalty(policy, meets, requests);
                requests * (cost + late * reference) + reference * penalty
            });
            choice.value = tie_break + costs.sum::<f64>();
            choice
        });
        choices.min_by(|a, b| a.value.total_cmp(&b.value))
    }

    /// Assesses the only version that may run.
    pub fn only(&self, flight: &Flight, now: Duration, candidate: Candidate) -> Choice {
        self.single(flight, now, candidate, self.reference_cost(flight))
    }

    /// The better of delivering a version's answer at once and holding it for its rating.
    fn assess(
        &self,
        flight: &Flight,
        now: Duration,
        candidate: Candidate,
        reference: f64,
    ) -> Choice {
        let direct = self.single(flight, now, candidate, reference);
        match self.held(flight, now, direct, candidate, reference) {
            Some(held) if held.value < direct.value => held,
            _ => direct,
        }
    }

    fn single(
        &self,
        flight: &Flight,
        now: Duration,
        candidate: Candidate,
        reference: f64,
    ) -> Choice {
        let Candidate { version, wait_ms } = candidate;
        let left = flight.time_left(now).saturating_sub(from_ms(wait_ms));
        let on_time = self.estimates.within(version, flight.task, left);
        let cost = self.estimates.cost(version, flight.task, flight.prompt_tokens);
        let (meets, penalty) = match flight.target {
            Some(task) => {
                let meets = self.estimates.meets(version, flight.task, task.quality_target);
                (meets, self.account.expected_penalty(task, meets, 1.0))
            }
            None => (1.0, 0.0),
        };
        let value = cost + reference * (penalty + LATE_PENALTY * (1.0 - on_time));
        Choice { version, hold: false, meets, on_time, cost, value }
    }

    /// The same run with its answer held for a rating and a second run where it is poor.
    fn held(
        &self,
        flight: &Flight,
        now: Duration,
        direct: Choice,
        candidate: Candidate,
        reference: f64,
    ) -> Option<Choice> {
        let task = flight.target?;
        if !flight.repeatable || !self.rating.up || !self.may_hold(flight, candidate) {
            return None;
        }
        let first_ms =
            candidate.wait_ms + self.estimates.service_ms_on(candidate.version, flight.task);
        let spent = from_ms(first_ms) + self.rating.delay;
        let left = flight.time_left(now).checked_sub(spent)?;
        let poor = reference * self.account.penalty(task, false);
        let rescue = self.best_rescue(flight, direct.version, task, left, reference)?;
        if rescue.value >= poor {
            return None;
        }
        let share_of_deadline =
            self.rating.delay.as_secs_f64() / flight.time_left(now).as_secs_f64().max(1e-3);
        let late = LATE_PENALTY * (1.0 - direct.on_time) + HOLD_PENALTY * share_of_deadline;
        let met = reference * self.account.penalty(task, true);
        let miss = 1.0 - direct.meets;
        let value = direct.cost + direct.meets * met + miss * rescue.value + reference * late;
        let meets = direct.meets + miss * rescue.meets;
        Some(Choice { hold: true, value, meets, ..direct })
    }

    /// The best second run, valued with what it leaves behind.
    fn best_rescue(
        &self,
        flight: &Flight,
        poor: VersionIx,
        task: TaskPolicy,
        left: Duration,
        reference: f64,
    ) -> Option<Choice> {
        let met = reference * self.account.penalty(task, true);
        let missed = reference * self.account.penalty(task, false);
        let untried = self
            .candidates
            .iter()
            .filter(|c| c.version != poor && !flight.tried.contains(&c.version));
        let choices = untried.map(|candidate| {
            let version = candidate.version;
            let usable = left.saturating_sub(from_ms(candidate.wait_ms) + DELIVERY_MARGIN);
            let on_time = self.estimates.within(version, flight.task, usable);
            let rescued =
                self.estimates.rescues(poor, version, flight.task, task.quality_target) * on_time;
            let cost = self.estimates.cost(version, flight.task, flight.prompt_tokens);
            let value = cost + rescued * met + (1.0 - rescued) * missed;
            Choice { version, hold: true, meets: rescued, on_time, cost, value }
        });
        choices.min_by(|a, b| a.value.total_cmp(&b.value))
    }

    /// A caller that streams is promised its first token within a bound.
    fn may_hold(&self, flight: &Flight, candidate: Candidate) -> bool {
        if !flight.streaming {
            return true;
        }
        let service_ms = self.estimates.service_ms_on(candidate.version, flight.task);
        from_ms(candidate.wait_ms + service_ms) + self.rating.delay <= FIRST_TOKEN_BOUND
    }

    fn reference_cost(&self, flight: &Flight) -> f64 {
        self.reference_cost_of(flight.task, flight.prompt_tokens)
    }

    fn reference_cost_of(&self, task: TaskIx, prompt_tokens: u64) -> f64 {
        let costs =
            self.candidates.iter().map(|c| self.estimates.cost(c.version, task, prompt_tokens));
        costs.fold(1e-9, f64::max)
    }
}

/// Milliseconds as a time; an unlimited wait becomes a very long one.
pub fn from_ms(ms: f64) -> Duration {
    const LONGEST_MS: f64 = 1e9;
    Duration::from_secs_f64(ms.clamp(0.0, LONGEST_MS) / 1e3)
}
