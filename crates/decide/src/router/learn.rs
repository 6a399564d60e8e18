//! What the router learns from runs, ratings and deliveries.

use std::time::Duration;

use pondwalk_types::TaskPolicy;

use super::Router;
use crate::{
    account::SlackLevel,
    flight::{DeliveredAnswer, InFlightRequest},
    intern::{TaskIx, VersionIx},
    trial::Reference,
    tuning::RATING_MISSES_LIMIT,
};

impl Router {
    /// An answer has been delivered; returns what a later rating needs.
    pub fn on_delivered(
        &mut self,
        now: Duration,
        flight: &mut InFlightRequest,
    ) -> Option<DeliveredAnswer> {
        let answer = flight.answer?;
        let late = now > flight.deadline;
        self.estimates.of_mut(answer.version, flight.task).late.add(late);
        self.count_lateness(now, answer.version, flight.task, late);
        self.book(flight, answer.meets);
        flight.booked = None;
        self.observe_level(flight);
        Some(DeliveredAnswer {
            workspace: flight.workspace,
            task: flight.task,
            target: flight.target,
            version: answer.version,
            expected: answer.meets,
            rated: answer.rating.is_some(),
        })
    }

    /// A rating came for an answer that was delivered before.
    pub fn on_late_rating(
        &mut self,
        now: Duration,
        receipt: &DeliveredAnswer,
        delay: Duration,
        quality: f64,
    ) {
        if receipt.rated {
            return;
        }
        self.note_rating_delay(delay);
        self.learn_quality(now, receipt.version, receipt.task, quality);
        let Some(target) = receipt.target else {
            return;
        };
        let met = quality >= target.quality_target;
        if let Some(account) = self.account_mut(receipt.workspace, receipt.task) {
            account.correct(receipt.expected, met);
        }
    }

    /// Expects an answer to meet its target with probability `meets`, in place of what was
    /// expected of the request before.
    pub(super) fn book(&mut self, flight: &mut InFlightRequest, meets: f64) {
        let Some(target) = flight.target else {
            return;
        };
        let booked = flight.booked.replace(meets);
        if let Some(account) = self.account_mut(flight.workspace, flight.task) {
            match booked {
                Some(before) => account.expect_instead(before, meets),
                None => account.expect(target, meets),
            }
        }
    }

    fn observe_level(&mut self, flight: &InFlightRequest) {
        if flight.target.is_none() {
            return;
        }
        let balance = self.account(flight.workspace, flight.task).expected();
        if self.levels.len() <= flight.task {
            self.levels.resize(flight.task + 1, SlackLevel::default());
        }
        self.levels[flight.task].observe(balance);
    }

    /// Takes back what was expected of a request that gets no answer.
    pub(super) fn unbook(&mut self, flight: &mut InFlightRequest) {
        let (Some(target), Some(before)) = (flight.target, flight.booked.take()) else {
            return;
        };
        if let Some(account) = self.account_mut(flight.workspace, flight.task) {
            account.take_back(target, before);
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
        self.estimates.of_mut(version, task).quality.add(quality);
    }

    pub(super) fn learn_failure(&mut self, now: Duration, version: VersionIx, task: TaskIx) {
        self.estimates.of_mut(version, task).failures.add(true);
        self.count_end(now, version, task, true);
    }

    pub(super) fn count_end(
        &mut self,
        now: Duration,
        version: VersionIx,
        task: TaskIx,
        failed: bool,
    ) {
        let Some(replaces) = self.roll_out(version).map(|roll_out| roll_out.replaces) else {
            return;
        };
        let old_rate = self.estimates.of(replaces, task).failures.with_prior(0.0, 20.0);
        if let Some(roll_out) = self.roll_out_mut(version) {
            roll_out.trial.record_end(now, failed, old_rate);
        }
    }

    pub(super) fn note_rating_delay(&mut self, delay: Duration) {
        self.rating_misses = 0;
        self.rating_delay_ms.add(delay.as_secs_f64() * 1e3);
    }

    pub(super) fn note_rating_missed(&mut self) {
        self.rating_misses = (self.rating_misses + 1).min(RATING_MISSES_LIMIT);
    }

    /// Probability that an answer of a version meets the target; one without a target does.
    pub(super) fn meets(
        &self,
        version: VersionIx,
        task: TaskIx,
        target: Option<TaskPolicy>,
    ) -> f64 {
        target.map_or(1.0, |target| self.estimates.meets(version, task, target.quality_target))
    }

    fn count_lateness(&mut self, now: Duration, version: VersionIx, task: TaskIx, late: bool) {
        let Some(replaces) = self.roll_out(version).map(|roll_out| roll_out.replaces) else {
            return;
        };
        let old_rate = self.estimates.of(replaces, task).late.with_prior(0.0, 20.0);
        if let Some(roll_out) = self.roll_out_mut(version) {
            roll_out.trial.record_delivery(now, late, old_rate);
        }
    }

    fn reference(&self, version: VersionIx, task: TaskIx) -> Reference {
        let quality = &self.estimates.of(version, task).quality;
        let (mean, deviation) = quality.moments();
        Reference { ratings: quality.total(), mean, deviation }
    }
}
