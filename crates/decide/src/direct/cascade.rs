//! Chooses the models that a request tries, and whether the answer of a smaller model is passed on.
//!
//! The head of an answer carries the model's confidence before any byte is passed on. The chance
//! that this answer, or that of another model, suffices follows from it. The request goes to the
//! model whose answer has the highest expected value after its price and the server time that it
//! takes. (For cascades of this kind see Chen et al., FrugalGPT, 2023.) How much more confident a
//! larger model is than a smaller one is learned from requests that tried both. Under strain the
//! price of server time rises, so that the largest model is reserved for requests that gain most
//! from it.

use std::{collections::HashMap, time::Duration};

use super::engine::ServiceModelIndex;

/// Index of a model in a route's list, smallest model first.
pub type RouteModelIndex = u8;

/// Confidence at which an answer suffices with probability one half: the middle of the scale by
/// definition. It is not learned, since an entry gets no feedback on which answers sufficed.
const EVEN_CONFIDENCE: f64 = 50.0;
/// Step of confidence that changes the odds of an answer by a factor of e. The confidence of one
/// answer scatters by 10 points (docs/decisions/0015-cascade.md).
///
/// NB: not learned from the scatter between two answers to one request. Only answers of low
/// confidence are followed by another, so that scatter is too large.
const CONFIDENCE_STEP: f64 = 6.2;
/// Fraction of a request's value that an insufficient answer loses.
const POOR_ANSWER_LOSS: f64 = 0.95;
/// Price of the largest model's answer, as a fraction of its value.
const LARGEST_MODEL_PRICE: f64 = 0.16;
/// Fraction of the value that remains if an answer begins after its objective.
const LATE_ANSWER_VALUE: f64 = 0.3;
/// Expected time to first byte, as a multiple of the objective: on time up to the first bound, late
/// from the second.
const START_BOUNDS: (f64, f64) = (0.7, 1.3);
/// Expected total time, as a multiple of the time allowed: complete in time up to the first bound,
/// cut off from the second.
const END_BOUNDS: (f64, f64) = (0.75, 1.1);
/// Share of a middle model's insufficient answers that its own confidence reveals.
const DETECTED_POOR_SHARE: f64 = 0.7;
/// Gain in confidence from a smaller to a larger model before any request has tried both.
const LIFT_PRIOR: f64 = 13.0;
/// Weight of the newest request in the learned gain.
const LIFT_GAIN: f64 = 0.05;
/// Weight of the newest request in the strain.
const STRAIN_GAIN: f64 = 0.25;
/// Largest sample of the strain. A few answers that waited for a failing server would otherwise
/// raise the price for all requests.
const MAX_STRAIN_SAMPLE: f64 = 0.4;
/// Time in which the strain decays to 1/e without further samples, so that the price falls within
/// seconds after a burst however few requests an entry has.
const STRAIN_DECAY: Duration = Duration::from_secs(2);
/// Strain up to which server time is free, and from which it has its highest price.
const STRAIN_BOUNDS: (f64, f64) = (0.03, 0.2);
/// Highest price of the server time of a typical answer of the largest model, as a fraction of its
/// value.
const MAX_TIME_PRICE: f64 = 0.85;

/// Cost of asking one model.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ModelCost {
    /// Index of the model in its service.
    pub model: ServiceModelIndex,
    /// Price, in any unit that all models share.
    pub price: f64,
    /// Server time, as a multiple of a typical answer of the largest model.
    pub server_time: f64,
    /// Expected time from the request's arrival to the first byte, as a multiple of the objective.
    pub first_byte_ratio: f64,
    /// Expected time from the request's arrival to the last byte, as a multiple of the time
    /// allowed.
    pub end_ratio: f64,
}

/// Cascade rule for the requests of one service, with its learned state.
#[derive(Debug, Default)]
pub struct Cascade {
    lifts: HashMap<(ServiceModelIndex, ServiceModelIndex), f64>,
    strain: f64,
    /// Time of the latest sample of the strain.
    strain_at: Duration,
}

impl Cascade {
    /// Returns the model to ask next; `None` if the current answer is passed on.
    ///
    /// `confidences` lists the models that have answered with their confidences, the current answer
    /// last; `costs` lists the route's models, smallest first. `congestion` is the price of server
    /// time due to congestion, as a fraction of the highest price, from 0 to 1.
    pub fn next_model(
        &self,
        confidences: &[(RouteModelIndex, u8)],
        costs: &[ModelCost],
        congestion: f64,
        now: Duration,
    ) -> Option<RouteModelIndex> {
        let (current, _) = *confidences.last()?;
        if confidences.iter().any(|(model, _)| usize::from(*model) >= costs.len()) {
            return None;
        }
        let current_value =
            POOR_ANSWER_LOSS * self.success_probability(current, confidences, costs);
        let last = RouteModelIndex::try_from(costs.len()).ok()?.checked_sub(1)?;
        let time_price = self.server_time_price(now, congestion);
        let value =
            |model: RouteModelIndex| (model, self.value(model, confidences, costs, time_price));
        let best = (current + 1..=last).map(value).max_by(|a, b| a.1.total_cmp(&b.1));
        best.filter(|(_, value)| *value > current_value).map(|(model, _)| model)
    }

    /// Expected value of asking a model after an insufficient answer, as a fraction of the
    /// request's value.
    fn value(
        &self,
        model: RouteModelIndex,
        confidences: &[(RouteModelIndex, u8)],
        costs: &[ModelCost],
        time_price: f64,
    ) -> f64 {
        let last = costs.len() - 1;
        let candidate = &costs[usize::from(model)];
        let price =
            LARGEST_MODEL_PRICE * candidate.price / costs[last].price.max(f64::MIN_POSITIVE);
        let cost = price + time_price * candidate.server_time;
        if usize::from(model) == last {
            return POOR_ANSWER_LOSS * timeliness(candidate) - cost;
        }
        let success = self.success_probability(model, confidences, costs);
        let largest = RouteModelIndex::try_from(last)
            .map_or(0.0, |last| self.value(last, confidences, costs, time_price));
        let escalation_value = (1.0 - success) * DETECTED_POOR_SHARE * largest.max(0.0);
        POOR_ANSWER_LOSS * success * timeliness(candidate) + escalation_value - cost
    }

    /// Probability that a model's answer suffices, given the confidences of all models that have
    /// answered.
    fn success_probability(
        &self,
        model: RouteModelIndex,
        confidences: &[(RouteModelIndex, u8)],
        costs: &[ModelCost],
    ) -> f64 {
        let service_model = |index: RouteModelIndex| costs[usize::from(index)].model;
        let expected = confidences.iter().map(|(from, confidence)| {
            f64::from(*confidence) + self.lift(service_model(*from), service_model(model))
        });
        let count = confidences.len().max(1) as f64;
        let mean = expected.sum::<f64>() / count;
        let step = CONFIDENCE_STEP / count.sqrt();
        1.0 / (1.0 + ((EVEN_CONFIDENCE - mean) / step).exp())
    }

    /// Learns from a request that two models answered with these confidences.
    pub fn learn(&mut self, from: (ServiceModelIndex, u8), to: (ServiceModelIndex, u8)) {
        let is_informative = |confidence: u8| (1..100).contains(&confidence);
        if !is_informative(from.1) || !is_informative(to.1) {
            return;
        }
        let gain = f64::from(to.1) - f64::from(from.1);
        let lift = self.lifts.entry((from.0, to.0)).or_insert(LIFT_PRIOR);
        *lift += LIFT_GAIN * (gain - *lift);
    }

    /// Records by which fraction of its objective an answer waited longer than on an idle server.
    pub fn record_strain(&mut self, fraction: f64, now: Duration) {
        if fraction.is_nan() {
            return;
        }
        let decayed = self.strain(now);
        let sample = fraction.clamp(0.0, MAX_STRAIN_SAMPLE);
        self.strain = decayed + STRAIN_GAIN * (sample - decayed);
        self.strain_at = self.strain_at.max(now);
    }

    fn strain(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.strain_at);
        self.strain * (-elapsed.as_secs_f64() / STRAIN_DECAY.as_secs_f64()).exp()
    }

    /// Price of the server time of a typical answer of the largest model, as a fraction of its
    /// value: the larger of that of the strain and that of the congestion, a fraction of the
    /// highest price from 0 to 1.
    pub fn server_time_price(&self, now: Duration, congestion: f64) -> f64 {
        MAX_TIME_PRICE * ramp(self.strain(now), STRAIN_BOUNDS).max(congestion.clamp(0.0, 1.0))
    }

    fn lift(&self, from: ServiceModelIndex, to: ServiceModelIndex) -> f64 {
        if from == to {
            return 0.0;
        }
        self.lifts.get(&(from, to)).copied().unwrap_or(LIFT_PRIOR)
    }
}

/// Fraction of its value that an answer keeps with these expected times.
fn timeliness(cost: &ModelCost) -> f64 {
    let lateness = ramp(cost.first_byte_ratio, START_BOUNDS);
    let truncation = ramp(cost.end_ratio, END_BOUNDS);
    (1.0 - (1.0 - LATE_ANSWER_VALUE) * lateness) * (1.0 - truncation)
}

/// Rises linearly from 0 at the first bound to 1 at the second.
fn ramp(value: f64, (low, high): (f64, f64)) -> f64 {
    ((value - low) / (high - low)).clamp(0.0, 1.0)
}
