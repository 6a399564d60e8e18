//! Updates of estimates, balances and trials from runs, ratings and deliveries.

use std::time::Duration;

use pondwalk_types::TaskPolicy;

use super::Router;
use crate::{
    in_flight::{DeliveredAnswer, InFlightRequest},
    intern::{TaskIx, VersionIx},
    quality_balance::BalanceMidpoint,
    trial::Reference,
    tuning::MAX_RATING_MISSES,
};

impl Router {
    /// Records that the answer was delivered; returns the record that a later rating needs.
    pub fn on_delivered(
        &mut self,
        now: Duration,
        in_flight: &mut InFlightRequest,
    ) -> Option<DeliveredAnswer> {
        let answer = in_flight.answer?;
        let late = now > in_flight.deadline;
        self.estimates.version_task_mut(answer.version, in_flight.task).late.add(late);
        self.record_trial_lateness(now, answer.version, in_flight.task, late);
        self.record_expectation(in_flight, answer.p_meets);
        in_flight.expected_meets = None;
        self.update_midpoint(in_flight);
        Some(DeliveredAnswer {
            workspace: in_flight.workspace,
            task: in_flight.task,
            target: in_flight.target,
            version: answer.version,
            p_meets: answer.p_meets,
            rated: answer.rating.is_some(),
        })
    }

    /// Applies a rating that arrived after delivery, `delay` after it was requested.
    ///
    /// Has no effect if the answer was rated before it was delivered.
    pub fn on_late_rating(
        &mut self,
        now: Duration,
        delivered: &DeliveredAnswer,
        delay: Duration,
        quality: f64,
    ) {
        if delivered.rated {
            return;
        }
        self.record_rating_delay(delay);
        self.learn_quality(now, delivered.version, delivered.task, quality);
        let Some(target) = delivered.target else {
            return;
        };
        let met = quality >= target.quality_target;
        if let Some(balance) = self.balance_mut(delivered.workspace, delivered.task) {
            balance.record_outcome(delivered.p_meets, met);
        }
    }

    /// Sets the probability that the request meets its target, replacing an earlier value.
    pub(super) fn record_expectation(&mut self, in_flight: &mut InFlightRequest, p_meets: f64) {
        let Some(target) = in_flight.target else {
            return;
        };
        let expected_meets = in_flight.expected_meets.replace(p_meets);
        if let Some(balance) = self.balance_mut(in_flight.workspace, in_flight.task) {
            match expected_meets {
                Some(before) => balance.replace_expected(before, p_meets),
                None => balance.add_expected(target, p_meets),
            }
        }
    }

    fn update_midpoint(&mut self, in_flight: &InFlightRequest) {
        if in_flight.target.is_none() {
            return;
        }
        let balance = self.balance(in_flight.workspace, in_flight.task).projected();
        if self.midpoints.len() <= in_flight.task {
            self.midpoints.resize(in_flight.task + 1, BalanceMidpoint::default());
        }
        self.midpoints[in_flight.task].update(balance);
    }

    /// Removes the expected value of the request from the balance.
    pub(super) fn remove_expectation(&mut self, in_flight: &mut InFlightRequest) {
        let (Some(target), Some(before)) = (in_flight.target, in_flight.expected_meets.take())
        else {
            return;
        };
        if let Some(balance) = self.balance_mut(in_flight.workspace, in_flight.task) {
            balance.remove_expected(target, before);
        }
    }

    pub(super) fn learn_quality(
        &mut self,
        now: Duration,
        version: VersionIx,
        task: TaskIx,
        quality: f64,
    ) {
        let others = self.roll_outs.iter_mut().filter(|roll_out| roll_out.version != version);
        others.for_each(|roll_out| roll_out.trial.record_other_rating());
        if let Some(replaces) = self.roll_out(version).map(|roll_out| roll_out.replaces) {
            let reference = self.reference(replaces, task);
            if let Some(roll_out) = self.roll_out_mut(version) {
                roll_out.trial.record_rating(now, quality, reference);
            }
        }
        self.estimates.version_task_mut(version, task).quality.add(quality);
    }

    pub(super) fn record_failure(&mut self, now: Duration, version: VersionIx, task: TaskIx) {
        self.estimates.version_task_mut(version, task).failures.add(true);
        self.record_trial_end(now, version, task, true);
    }

    pub(super) fn record_trial_end(
        &mut self,
        now: Duration,
        version: VersionIx,
        task: TaskIx,
        failed: bool,
    ) {
        let Some(replaces) = self.roll_out(version).map(|roll_out| roll_out.replaces) else {
            return;
        };
        let old_rate = self.estimates.version_task(replaces, task).failures.with_prior(0.0, 20.0);
        if let Some(roll_out) = self.roll_out_mut(version) {
            roll_out.trial.record_end(now, failed, old_rate);
        }
    }

    pub(super) fn record_rating_delay(&mut self, delay: Duration) {
        self.rating_misses = 0;
        self.rating_delay_ms.add(delay.as_secs_f64() * 1e3);
    }

    pub(super) fn record_rating_miss(&mut self) {
        self.rating_misses = (self.rating_misses + 1).min(MAX_RATING_MISSES);
    }

    /// Probability that an answer of a version meets the target; 1 without a target.
    pub(super) fn p_meets(
        &self,
        version: VersionIx,
        task: TaskIx,
        target: Option<TaskPolicy>,
    ) -> f64 {
        target.map_or(1.0, |target| self.estimates.p_meets(version, task, target.quality_target))
    }

    fn record_trial_lateness(
        &mut self,
        now: Duration,
        version: VersionIx,
        task: TaskIx,
        late: bool,
    ) {
        let Some(replaces) = self.roll_out(version).map(|roll_out| roll_out.replaces) else {
            return;
        };
        let old_rate = self.estimates.version_task(replaces, task).late.with_prior(0.0, 20.0);
        if let Some(roll_out) = self.roll_out_mut(version) {
            roll_out.trial.record_delivery(now, late, old_rate);
        }
    }

    fn reference(&self, version: VersionIx, task: TaskIx) -> Reference {
        let quality = &self.estimates.version_task(version, task).quality;
        let (mean, deviation) = quality.moments();
        Reference { ratings: quality.total(), mean, deviation }
    }
}
