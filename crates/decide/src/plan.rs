//! The choice of version: what each option costs, in money and in promises put at risk.
//!
//! All terms are in the workspace's currency. Quality and lateness are priced in runs of the
//! dearest version that the workspace may use, so that the balance between money and quality
//! does not depend on the price level. Versions that another one beats in both cost and quality
//! are left out first, so that pairs of versions stay few.

use std::time::Duration;

use pondwalk_types::TaskPolicy;

use crate::{
    account::{Account, SlackLevel},
    estimate::Estimates,
    flight::InFlightRequest,
    intern::{TaskIx, VersionIx},
    tuning::{DELIVERY_MARGIN, FIRST_TOKEN_BOUND, FRONTIER_LIMIT, HOLD_PENALTY, LATE_PENALTY},
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

/// What a new session is expected to ask of one task.
#[derive(Debug, Clone, Copy)]
pub struct SessionTask {
    /// The task.
    pub task: TaskIx,
    /// Requests expected.
    pub requests: f64,
    /// The workspace's target.
    pub policy: TaskPolicy,
    /// The workspace's account.
    pub account: Account,
    /// The task's level of slack.
    pub level: SlackLevel,
}

/// A version with what is expected of it for the request at hand.
#[derive(Debug, Clone, Copy)]
struct Assessed {
    candidate: Candidate,
    cost: f64,
    meets: f64,
    on_time: f64,
    /// Expected time on a server, in milliseconds.
    service_ms: f64,
}

/// What an answer is worth that meets the target, and one that misses it.
#[derive(Debug, Clone, Copy)]
struct Stakes {
    met: f64,
    missed: f64,
    reference: f64,
}

/// Everything that the comparison of options reads.
pub struct Planner<'a> {
    /// What is known of versions.
    pub estimates: &'a Estimates,
    /// The workspace's account for the task.
    pub account: Account,
    /// The task's level of slack.
    pub level: SlackLevel,
    /// How ratings are coming in.
    pub rating: RatingOutlook,
    /// Versions that may run.
    pub candidates: &'a [Candidate],
}

impl Planner<'_> {
    /// The best first run of a request that is not bound to a version.
    pub fn first(&self, flight: &InFlightRequest, now: Duration) -> Option<Choice> {
        let stakes = self.stakes(flight);
        let mut frontier = self.frontier(flight, now, &flight.tried);
        if frontier.is_empty() {
            // NB: all have failed on some server; the same version may do better on another.
            frontier = self.frontier(flight, now, &[]);
        }
        let choices = frontier.iter().map(|first| {
            let direct = direct(first, stakes);
            match self.held(flight, now, first, stakes, &frontier) {
                Some(held) if held.value < direct.value => held,
                _ => direct,
            }
        });
        choices.min_by(|a, b| a.value.total_cmp(&b.value))
    }

    /// The run worth making after an answer that missed its target, if any is.
    pub fn rescue(&self, flight: &InFlightRequest, now: Duration) -> Option<Choice> {
        let poor = flight.answer?.version;
        let target = flight.target?;
        let stakes = self.stakes(flight);
        let frontier = self.frontier(flight, now, &flight.tried);
        let left = flight.time_left(now);
        let best = self.best_rescue(flight, target, poor, left, stakes, &frontier)?;
        (best.value < stakes.missed).then_some(best)
    }

    /// The version for a new session, given what its workspace's sessions ask for.
    ///
    /// `mix` yields each task that has a target.
    pub fn session<I>(&self, flight: &InFlightRequest, now: Duration, mix: I) -> Option<Choice>
    where
        I: Iterator<Item = SessionTask> + Clone,
    {
        let choices = self.candidates.iter().map(|candidate| {
            let assessed = self.assess(flight, now, *candidate);
            let mut choice = direct(&assessed, self.stakes(flight));
            // NB: decides alone where no task of the sessions has a target.
            let tie_break = choice.cost * 1e-3;
            let costs =
                mix.clone().map(|SessionTask { task, requests, policy, account, level }| {
                    let reference = self.reference_cost(task, flight.prompt_tokens);
                    let version = candidate.version;
                    let cost = self.estimates.cost(version, task, flight.prompt_tokens);
                    let meets = self.estimates.meets(version, task, policy.quality_target);
                    let late = self.estimates.usually_late(version, task);
                    let penalty = account.penalty_after(policy, meets, requests, level);
                    requests * (cost + LATE_PENALTY * late * reference) + reference * penalty
                });
            choice.value = tie_break + costs.sum::<f64>();
            choice
        });
        choices.min_by(|a, b| a.value.total_cmp(&b.value))
    }

    /// Assesses the only version that may run.
    pub fn only(&self, flight: &InFlightRequest, now: Duration, candidate: Candidate) -> Choice {
        direct(&self.assess(flight, now, candidate), self.stakes(flight))
    }

    /// Versions that are not among those tried and that no other one beats in cost, quality and time, cheapest first.
    fn frontier(
        &self,
        flight: &InFlightRequest,
        now: Duration,
        tried: &[VersionIx],
    ) -> Vec<Assessed> {
        let untried = self.candidates.iter().filter(|c| !tried.contains(&c.version));
        let mut all: Vec<Assessed> =
            untried.map(|candidate| self.assess(flight, now, *candidate)).collect();
        all.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        let mut kept: Vec<Assessed> = Vec::with_capacity(FRONTIER_LIMIT);
        for next in all {
            let beaten = kept.iter().any(|k| k.meets >= next.meets && k.on_time >= next.on_time);
            if beaten {
                continue;
            }
            if kept.len() == FRONTIER_LIMIT {
                kept.pop();
            }
            kept.push(next);
        }
        kept
    }

    fn assess(&self, flight: &InFlightRequest, now: Duration, candidate: Candidate) -> Assessed {
        let Candidate { version, wait_ms } = candidate;
        let left = flight.time_left(now).saturating_sub(from_ms(wait_ms));
        let meets = flight.target.map_or(1.0, |target| {
            self.estimates.meets(version, flight.task, target.quality_target)
        });
        Assessed {
            candidate,
            cost: self.estimates.cost(version, flight.task, flight.prompt_tokens),
            meets,
            on_time: self.estimates.within(version, flight.task, left),
            service_ms: self.estimates.service_ms_on(version, flight.task),
        }
    }

    /// A run with its answer held for a rating, and further runs where it is poor.
    fn held(
        &self,
        flight: &InFlightRequest,
        now: Duration,
        first: &Assessed,
        stakes: Stakes,
        frontier: &[Assessed],
    ) -> Option<Choice> {
        let target = flight.target?;
        if !flight.repeatable || !self.rating.up || !self.may_hold(flight, first) {
            return None;
        }
        let spent = from_ms(first.candidate.wait_ms + first.service_ms) + self.rating.delay;
        let left = flight.time_left(now).checked_sub(spent)?;
        let version = first.candidate.version;
        let rescue = self.best_rescue(flight, target, version, left, stakes, frontier)?;
        if rescue.value >= stakes.missed {
            return None;
        }
        let share_of_deadline =
            self.rating.delay.as_secs_f64() / flight.time_left(now).as_secs_f64().max(1e-3);
        let late = LATE_PENALTY * (1.0 - first.on_time) + HOLD_PENALTY * share_of_deadline;
        let miss = 1.0 - first.meets;
        let value =
            first.cost + first.meets * stakes.met + miss * rescue.value + stakes.reference * late;
        let meets = first.meets + miss * rescue.meets;
        Some(Choice { hold: true, meets, value, ..direct(first, stakes) })
    }

    /// The best further run after a poor answer, valued with what it leaves behind.
    fn best_rescue(
        &self,
        flight: &InFlightRequest,
        target: TaskPolicy,
        poor: VersionIx,
        left: Duration,
        stakes: Stakes,
        frontier: &[Assessed],
    ) -> Option<Choice> {
        let poor_cost = self.estimates.cost(poor, flight.task, flight.prompt_tokens);
        // NB: a cheaper version that might do better by luck only takes time from a dearer one.
        let others = || frontier.iter().filter(move |other| other.cost > poor_cost);
        let last = others().next_back()?;
        let choices = others().map(|second| {
            let mut choice = self.rescue_by(flight, target, poor, second, left, stakes);
            let version = second.candidate.version;
            let spent = from_ms(second.candidate.wait_ms + second.service_ms) + self.rating.delay;
            let room = left.checked_sub(spent).filter(|_| last.candidate.version != version);
            let third =
                room.map(|room| self.rescue_by(flight, target, version, last, room, stakes));
            // NB: a third run is at best the dearest version, so only that one is looked at.
            if let Some(third) = third.filter(|third| third.value < stakes.missed) {
                let miss = choice.on_time - choice.meets;
                choice.value += miss * (third.value - stakes.missed);
                choice.meets += miss * third.meets;
            }
            choice
        });
        choices.min_by(|a, b| a.value.total_cmp(&b.value))
    }

    /// One further run after a poor answer, with nothing after it.
    fn rescue_by(
        &self,
        flight: &InFlightRequest,
        target: TaskPolicy,
        poor: VersionIx,
        second: &Assessed,
        left: Duration,
        stakes: Stakes,
    ) -> Choice {
        let version = second.candidate.version;
        let usable = left.saturating_sub(from_ms(second.candidate.wait_ms) + DELIVERY_MARGIN);
        let on_time = self.estimates.within(version, flight.task, usable);
        let rescued = self.estimates.rescues(poor, version, flight.task, target.quality_target);
        let meets = rescued * on_time;
        let value = second.cost + meets * stakes.met + (1.0 - meets) * stakes.missed;
        Choice { version, hold: true, meets, on_time, cost: second.cost, value }
    }

    /// A caller that streams is promised its first token within a bound.
    fn may_hold(&self, flight: &InFlightRequest, first: &Assessed) -> bool {
        let shown_after = from_ms(first.candidate.wait_ms + first.service_ms) + self.rating.delay;
        !flight.streaming || shown_after <= FIRST_TOKEN_BOUND
    }

    fn stakes(&self, flight: &InFlightRequest) -> Stakes {
        let reference = self.reference_cost(flight.task, flight.prompt_tokens);
        let penalty = |met| {
            flight
                .target
                .map_or(0.0, |target| reference * self.account.penalty(target, met, self.level))
        };
        Stakes { met: penalty(true), missed: penalty(false), reference }
    }

    /// Cost of a run of the dearest candidate.
    fn reference_cost(&self, task: TaskIx, prompt_tokens: u64) -> f64 {
        let costs =
            self.candidates.iter().map(|c| self.estimates.cost(c.version, task, prompt_tokens));
        costs.fold(1e-9, f64::max)
    }
}

/// A run whose answer is delivered at once.
fn direct(run: &Assessed, stakes: Stakes) -> Choice {
    let Assessed { candidate, cost, meets, on_time, .. } = *run;
    let penalty = meets * stakes.met + (1.0 - meets) * stakes.missed;
    let value = cost + penalty + stakes.reference * LATE_PENALTY * (1.0 - on_time);
    Choice { version: candidate.version, hold: false, meets, on_time, cost, value }
}

/// Milliseconds as a time; an unlimited wait becomes a very long one.
pub fn from_ms(ms: f64) -> Duration {
    const LONGEST_MS: f64 = 1e9;
    Duration::from_secs_f64(ms.clamp(0.0, LONGEST_MS) / 1e3)
}
