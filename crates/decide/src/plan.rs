//! The choice of version: minimises cost plus penalties for missed targets and deadlines.
//!
//! The objective is in the workspace's currency. Penalties are multiples of the cost of a run of
//! the most expensive candidate, so that the trade-off between cost and quality does not depend
//! on the price level. Candidates that are dominated in cost, quality and time are dropped first,
//! which keeps the number of pairs of versions small.

use std::time::Duration;

use pondwalk_types::TaskPolicy;

use crate::{
    estimate::Estimates,
    in_flight::InFlightRequest,
    intern::{TaskIx, VersionIx},
    quality_balance::{BalanceMidpoint, QualityBalance},
    tuning::{
        DELIVERY_MARGIN, HOLD_PENALTY_RUNS, LATE_PENALTY_RUNS, MAX_FIRST_TOKEN_DELAY,
        MAX_FRONTIER_VERSIONS,
    },
};

/// A version that may run now.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// The version.
    pub version: VersionIx,
    /// Expected wait for a slot, in milliseconds.
    pub wait_ms: f64,
}

/// State of the rating service as seen by the router.
#[derive(Debug, Clone, Copy)]
pub struct RatingAvailability {
    /// Mean time from an answer to its rating.
    pub delay: Duration,
    /// Whether answers may be held for a rating now.
    pub is_available: bool,
}

/// The version chosen for a run.
#[derive(Debug, Clone, Copy)]
pub struct Choice {
    /// The version.
    pub version: VersionIx,
    /// Whether the answer is held until it is rated.
    pub hold: bool,
    /// Probability that the delivered answer meets the target.
    pub p_meets: f64,
    /// Probability that the run ends before the deadline.
    pub p_on_time: f64,
    /// Expected cost of this run.
    pub cost: f64,
    /// Expected cost plus penalties; the choice with the lowest value wins.
    pub objective: f64,
}

/// Expected demand of a new session for one task.
#[derive(Debug, Clone, Copy)]
pub struct SessionTask {
    /// The task.
    pub task: TaskIx,
    /// Requests expected.
    pub requests: f64,
    /// The workspace's quality target for the task.
    pub policy: TaskPolicy,
    /// The workspace's quality balance for the task.
    pub balance: QualityBalance,
    /// The midpoint of the task's penalty curve.
    pub midpoint: BalanceMidpoint,
}

/// Expected outcome of running the request on one candidate.
#[derive(Debug, Clone, Copy)]
struct Assessed {
    candidate: Candidate,
    cost: f64,
    p_meets: f64,
    p_on_time: f64,
    /// Expected service time, in milliseconds.
    service_ms: f64,
}

/// Penalties, in currency, of answers that meet and that miss the target.
#[derive(Debug, Clone, Copy)]
struct Penalties {
    met: f64,
    missed: f64,
    /// Cost of a run of the most expensive candidate.
    reference_cost: f64,
}

/// Inputs of the choice of version for one request.
pub struct Planner<'a> {
    /// Estimates for all versions.
    pub estimates: &'a Estimates,
    /// The workspace's quality balance for the task.
    pub balance: QualityBalance,
    /// The midpoint of the task's penalty curve.
    pub midpoint: BalanceMidpoint,
    /// State of the rating service.
    pub rating: RatingAvailability,
    /// Versions that may run.
    pub candidates: &'a [Candidate],
}

impl Planner<'_> {
    /// Chooses the first run of a request that is not bound to a version.
    pub fn choose_first(&self, in_flight: &InFlightRequest, now: Duration) -> Option<Choice> {
        let penalties = self.penalties(in_flight);
        let mut frontier = self.frontier(in_flight, now, &in_flight.tried_versions);
        if frontier.is_empty() {
            // NB: every version failed on some server; a retry on another server may succeed.
            frontier = self.frontier(in_flight, now, &[]);
        }
        let choices = frontier.iter().map(|first| {
            let immediate = immediate_choice(first, penalties);
            match self.held_choice(in_flight, now, first, penalties, &frontier) {
                Some(held) if held.objective < immediate.objective => held,
                _ => immediate,
            }
        });
        choices.min_by(|a, b| a.objective.total_cmp(&b.objective))
    }

    /// Chooses an escalation after an answer missed its target, if one lowers the objective.
    pub fn choose_escalation(&self, in_flight: &InFlightRequest, now: Duration) -> Option<Choice> {
        let poor = in_flight.answer?.version;
        let target = in_flight.target?;
        let penalties = self.penalties(in_flight);
        let frontier = self.frontier(in_flight, now, &in_flight.tried_versions);
        let time_left = in_flight.time_left(now);
        let best =
            self.best_escalation(in_flight, target, poor, time_left, penalties, &frontier)?;
        (best.objective < penalties.missed).then_some(best)
    }

    /// Chooses the version for a new session by the expected demand of the workspace's sessions.
    ///
    /// `session_tasks` yields the tasks that have a quality target.
    pub fn choose_for_session<I>(
        &self,
        in_flight: &InFlightRequest,
        now: Duration,
        session_tasks: I,
    ) -> Option<Choice>
    where
        I: Iterator<Item = SessionTask> + Clone,
    {
        let choices = self.candidates.iter().map(|candidate| {
            let assessed = self.assess(in_flight, now, *candidate);
            let mut choice = immediate_choice(&assessed, self.penalties(in_flight));
            // NB: the only term if none of the tasks has a target.
            let tie_break = choice.cost * 1e-3;
            let costs = session_tasks.clone().map(
                |SessionTask { task, requests, policy, balance, midpoint }| {
                    let reference_cost = self.reference_cost(task, in_flight.prompt_tokens);
                    let version = candidate.version;
                    let cost = self.estimates.cost(version, task, in_flight.prompt_tokens);
                    let p_meets = self.estimates.p_meets(version, task, policy.quality_target);
                    let p_late = self.estimates.p_late(version, task);
                    let penalty =
                        balance.penalty_after_answers(policy, p_meets, requests, midpoint);
                    requests * (cost + LATE_PENALTY_RUNS * p_late * reference_cost)
                        + reference_cost * penalty
                },
            );
            choice.objective = tie_break + costs.sum::<f64>();
            choice
        });
        choices.min_by(|a, b| a.objective.total_cmp(&b.objective))
    }

    /// Assesses the only version that may run.
    pub fn choose_bound(
        &self,
        in_flight: &InFlightRequest,
        now: Duration,
        candidate: Candidate,
    ) -> Choice {
        immediate_choice(&self.assess(in_flight, now, candidate), self.penalties(in_flight))
    }

    /// Pareto frontier of the untried candidates in cost, quality and time, cheapest first.
    fn frontier(
        &self,
        in_flight: &InFlightRequest,
        now: Duration,
        tried_versions: &[VersionIx],
    ) -> Vec<Assessed> {
        let untried = self.candidates.iter().filter(|c| !tried_versions.contains(&c.version));
        let mut all: Vec<Assessed> =
            untried.map(|candidate| self.assess(in_flight, now, *candidate)).collect();
        all.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        let mut frontier: Vec<Assessed> = Vec::with_capacity(MAX_FRONTIER_VERSIONS);
        for next in all {
            let dominated =
                frontier.iter().any(|f| f.p_meets >= next.p_meets && f.p_on_time >= next.p_on_time);
            if dominated {
                continue;
            }
            if frontier.len() == MAX_FRONTIER_VERSIONS {
                frontier.pop();
            }
            frontier.push(next);
        }
        frontier
    }

    fn assess(&self, in_flight: &InFlightRequest, now: Duration, candidate: Candidate) -> Assessed {
        let Candidate { version, wait_ms } = candidate;
        let time_left = in_flight.time_left(now).saturating_sub(duration_from_ms(wait_ms));
        let p_meets = in_flight.target.map_or(1.0, |target| {
            self.estimates.p_meets(version, in_flight.task, target.quality_target)
        });
        Assessed {
            candidate,
            cost: self.estimates.cost(version, in_flight.task, in_flight.prompt_tokens),
            p_meets,
            p_on_time: self.estimates.p_within(version, in_flight.task, time_left),
            service_ms: self.estimates.task_service_ms(version, in_flight.task),
        }
    }

    /// A run whose answer is held for a rating and followed by an escalation if it misses the target.
    fn held_choice(
        &self,
        in_flight: &InFlightRequest,
        now: Duration,
        first: &Assessed,
        penalties: Penalties,
        frontier: &[Assessed],
    ) -> Option<Choice> {
        let target = in_flight.target?;
        if !in_flight.repeatable || !self.rating.is_available || !self.can_hold(in_flight, first) {
            return None;
        }
        let spent =
            duration_from_ms(first.candidate.wait_ms + first.service_ms) + self.rating.delay;
        let time_left = in_flight.time_left(now).checked_sub(spent)?;
        let version = first.candidate.version;
        let escalation =
            self.best_escalation(in_flight, target, version, time_left, penalties, frontier)?;
        if escalation.objective >= penalties.missed {
            return None;
        }
        let share_of_deadline =
            self.rating.delay.as_secs_f64() / in_flight.time_left(now).as_secs_f64().max(1e-3);
        let delay_penalty =
            LATE_PENALTY_RUNS * (1.0 - first.p_on_time) + HOLD_PENALTY_RUNS * share_of_deadline;
        let miss = 1.0 - first.p_meets;
        let objective = first.cost
            + first.p_meets * penalties.met
            + miss * escalation.objective
            + penalties.reference_cost * delay_penalty;
        let p_meets = first.p_meets + miss * escalation.p_meets;
        Some(Choice { hold: true, p_meets, objective, ..immediate_choice(first, penalties) })
    }

    /// The best escalation after a poor answer, including the value of a third run after it.
    fn best_escalation(
        &self,
        in_flight: &InFlightRequest,
        target: TaskPolicy,
        poor: VersionIx,
        time_left: Duration,
        penalties: Penalties,
        frontier: &[Assessed],
    ) -> Option<Choice> {
        let poor_cost = self.estimates.cost(poor, in_flight.task, in_flight.prompt_tokens);
        // NB: a cheaper version rarely succeeds and uses up the time of a more expensive one.
        let others = || frontier.iter().filter(move |other| other.cost > poor_cost);
        let last = others().next_back()?;
        let choices = others().map(|second| {
            let mut choice =
                self.escalation_to(in_flight, target, poor, second, time_left, penalties);
            let version = second.candidate.version;
            let spent =
                duration_from_ms(second.candidate.wait_ms + second.service_ms) + self.rating.delay;
            let remaining =
                time_left.checked_sub(spent).filter(|_| last.candidate.version != version);
            let third = remaining.map(|remaining| {
                self.escalation_to(in_flight, target, version, last, remaining, penalties)
            });
            // NB: only the most expensive version is considered for the third run.
            if let Some(third) = third.filter(|third| third.objective < penalties.missed) {
                let miss = choice.p_on_time - choice.p_meets;
                choice.objective += miss * (third.objective - penalties.missed);
                choice.p_meets += miss * third.p_meets;
            }
            choice
        });
        choices.min_by(|a, b| a.objective.total_cmp(&b.objective))
    }

    /// A single escalation after a poor answer, with no run after it.
    fn escalation_to(
        &self,
        in_flight: &InFlightRequest,
        target: TaskPolicy,
        poor: VersionIx,
        second: &Assessed,
        time_left: Duration,
        penalties: Penalties,
    ) -> Choice {
        let version = second.candidate.version;
        let usable =
            time_left.saturating_sub(duration_from_ms(second.candidate.wait_ms) + DELIVERY_MARGIN);
        let p_on_time = self.estimates.p_within(version, in_flight.task, usable);
        let p_escalation =
            self.estimates.p_escalation_meets(poor, version, in_flight.task, target.quality_target);
        let p_meets = p_escalation * p_on_time;
        let objective = second.cost + p_meets * penalties.met + (1.0 - p_meets) * penalties.missed;
        Choice { version, hold: true, p_meets, p_on_time, cost: second.cost, objective }
    }

    /// Whether the answer may be held: streaming callers have a bound on the first token.
    fn can_hold(&self, in_flight: &InFlightRequest, first: &Assessed) -> bool {
        let delivered_after =
            duration_from_ms(first.candidate.wait_ms + first.service_ms) + self.rating.delay;
        !in_flight.streaming || delivered_after <= MAX_FIRST_TOKEN_DELAY
    }

    fn penalties(&self, in_flight: &InFlightRequest) -> Penalties {
        let reference_cost = self.reference_cost(in_flight.task, in_flight.prompt_tokens);
        let penalty = |met| {
            in_flight.target.map_or(0.0, |target| {
                reference_cost * self.balance.penalty(target, met, self.midpoint)
            })
        };
        Penalties { met: penalty(true), missed: penalty(false), reference_cost }
    }

    /// Cost of a run of the most expensive candidate.
    fn reference_cost(&self, task: TaskIx, prompt_tokens: u64) -> f64 {
        let costs =
            self.candidates.iter().map(|c| self.estimates.cost(c.version, task, prompt_tokens));
        costs.fold(1e-9, f64::max)
    }
}

/// A run whose answer is delivered without waiting for a rating.
fn immediate_choice(run: &Assessed, penalties: Penalties) -> Choice {
    let Assessed { candidate, cost, p_meets, p_on_time, .. } = *run;
    let penalty = p_meets * penalties.met + (1.0 - p_meets) * penalties.missed;
    let objective =
        cost + penalty + penalties.reference_cost * LATE_PENALTY_RUNS * (1.0 - p_on_time);
    Choice { version: candidate.version, hold: false, p_meets, p_on_time, cost, objective }
}

/// Converts milliseconds to a duration, capped at 1e9 ms so that infinite waits are valid.
pub fn duration_from_ms(ms: f64) -> Duration {
    const MAX_MS: f64 = 1e9;
    Duration::from_secs_f64(ms.clamp(0.0, MAX_MS) / 1e3)
}
