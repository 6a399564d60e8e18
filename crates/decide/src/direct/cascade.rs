//! Which models a request tries, and whether the answer of a smaller one is passed on.
//!
//! The head of an answer tells the model's own confidence before any byte is passed on. From it
//! follows how likely that answer will do, and how likely another model's would; the request goes
//! to the model whose answer is worth most after its price and the servers' time that it takes.
//! (Cascades of this kind: Chen et al., FrugalGPT, 2023.) How much more confident a larger model
//! is than a smaller one is learned from requests that tried both. Under strain the servers' time
//! gets dearer, so that the largest model is kept for where it adds most.

use std::collections::HashMap;

use super::engine::ServiceModelIndex;

/// Number of a model in a route's list, smallest first.
pub type RouteModelIndex = u8;

/// Confidence at which an answer is as likely to do as not: the middle of the scale, by what a
/// confidence means. Nobody tells an entry which answers did, so this is not learned.
const EVEN_CONFIDENCE: f64 = 50.0;
/// Step of confidence by which the odds of an answer change by a factor of e: an answer's own
/// scatter is 10 points (docs/decisions/0015-cascade.md).
///
/// NB: not learned from the scatter between two answers to one request. Only doubtful answers are
/// followed by another, so that scatter is too large.
const CONFIDENCE_STEP: f64 = 6.2;
/// Part of a request's worth that an answer which does not do forgoes.
const POOR_LOSS: f64 = 0.95;
/// Price of the largest model's answer, as a part of its worth.
const LARGEST_PRICE: f64 = 0.16;
/// Part of the worth that an answer which begins after its objective keeps.
const LATE_WORTH: f64 = 0.3;
/// Expected beginning, as a multiple of the objective, up to which an answer is surely in time and
/// from which it is surely late.
const IN_TIME_BOUNDS: (f64, f64) = (0.7, 1.3);
/// Expected end, as a multiple of the time allowed, up to which an answer is surely whole in time
/// and from which it surely is not.
const WHOLE_BOUNDS: (f64, f64) = (0.75, 1.1);
/// Part of the poor answers of a middle model that its own confidence gives away.
const FOUND_POOR: f64 = 0.7;
/// Confidence gained by a middle model, until requests that tried both have shown it.
const LIFT_PRIOR: f64 = 13.0;
/// Weight of the newest request in what is known of that.
const LIFT_GAIN: f64 = 0.05;
/// Weight of the newest request in the strain.
const STRAIN_GAIN: f64 = 0.06;
/// Strain up to which servers' time is free, and at which it is dearest.
const STRAIN_BOUNDS: (f64, f64) = (0.03, 0.2);
/// Price of a typical answer's time at the largest model when it is dearest, as a part of its worth.
const DEAREST_TIME: f64 = 0.85;

/// What asking one model would cost a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ModelCost {
    /// The model among those of its service.
    pub model: ServiceModelIndex,
    /// Its price, in any unit that all models share.
    pub price: f64,
    /// Servers' time that it takes, as a multiple of a typical answer of the largest model.
    pub server_time: f64,
    /// When its answer is expected to begin since the request's arrival, as a multiple of the
    /// objective.
    pub first_byte_ratio: f64,
    /// When it is expected to end since then, as a multiple of the time allowed.
    pub end_ratio: f64,
}

/// The rule for the requests of one service, with what it has learned.
#[derive(Debug, Default)]
pub struct Cascade {
    lifts: HashMap<(ServiceModelIndex, ServiceModelIndex), f64>,
    strain: f64,
}

impl Cascade {
    /// The model to ask next; `None` if the answer at hand is passed on.
    ///
    /// `told` are the models that answered with their confidences, the answer at hand last;
    /// `terms` are those of the route's models, smallest first.
    pub fn next_model(
        &self,
        told: &[(RouteModelIndex, u8)],
        terms: &[ModelCost],
    ) -> Option<RouteModelIndex> {
        let (current, _) = *told.last()?;
        if told.iter().any(|(model, _)| usize::from(*model) >= terms.len()) {
            return None;
        }
        let kept = POOR_LOSS * self.success_probability(current, told, terms);
        let last = RouteModelIndex::try_from(terms.len()).ok()?.checked_sub(1)?;
        let worth = |model: RouteModelIndex| (model, self.worth(model, told, terms));
        let best = (current + 1..=last).map(worth).max_by(|a, b| a.1.total_cmp(&b.1));
        best.filter(|(_, worth)| *worth > kept).map(|(model, _)| model)
    }

    /// What asking a model adds to a poor answer, as a part of the request's worth.
    fn worth(
        &self,
        model: RouteModelIndex,
        told: &[(RouteModelIndex, u8)],
        terms: &[ModelCost],
    ) -> f64 {
        let last = terms.len() - 1;
        let of = &terms[usize::from(model)];
        let price = LARGEST_PRICE * of.price / terms[last].price.max(f64::MIN_POSITIVE);
        let cost = price + self.server_time_price() * of.server_time;
        if usize::from(model) == last {
            return POOR_LOSS * in_time(of) - cost;
        }
        let does = self.success_probability(model, told, terms);
        let largest =
            RouteModelIndex::try_from(last).map_or(0.0, |last| self.worth(last, told, terms));
        let otherwise = (1.0 - does) * FOUND_POOR * largest.max(0.0);
        POOR_LOSS * does * in_time(of) + otherwise - cost
    }

    /// Chance that a model's answer does, by what all models that answered told.
    fn success_probability(
        &self,
        model: RouteModelIndex,
        told: &[(RouteModelIndex, u8)],
        terms: &[ModelCost],
    ) -> f64 {
        let named = |number: RouteModelIndex| terms[usize::from(number)].model;
        let expected = told.iter().map(|(from, confidence)| {
            f64::from(*confidence) + self.lift(named(*from), named(model))
        });
        let count = told.len().max(1) as f64;
        let mean = expected.sum::<f64>() / count;
        let step = CONFIDENCE_STEP / count.sqrt();
        1.0 / (1.0 + ((EVEN_CONFIDENCE - mean) / step).exp())
    }

    /// A request was answered by two models with these confidences.
    pub fn learn(&mut self, from: (ServiceModelIndex, u8), to: (ServiceModelIndex, u8)) {
        let told = |confidence: u8| (1..100).contains(&confidence);
        if !told(from.1) || !told(to.1) {
            return;
        }
        let gained = f64::from(to.1) - f64::from(from.1);
        let lift = self.lifts.entry((from.0, to.0)).or_insert(LIFT_PRIOR);
        *lift += LIFT_GAIN * (gained - *lift);
    }

    /// An answer waited for this part of its objective beyond what it would have on an idle server.
    pub fn record_strain(&mut self, part: f64) {
        self.strain += STRAIN_GAIN * (part.min(2.0) - self.strain);
    }

    /// Price of a typical answer's time at the largest model, as a part of its worth.
    pub fn server_time_price(&self) -> f64 {
        DEAREST_TIME * part_beyond(self.strain, STRAIN_BOUNDS)
    }

    fn lift(&self, from: ServiceModelIndex, to: ServiceModelIndex) -> f64 {
        if from == to {
            return 0.0;
        }
        self.lifts.get(&(from, to)).copied().unwrap_or(LIFT_PRIOR)
    }
}

/// Part of its worth that an answer keeps which is expected to begin and end at these times.
fn in_time(terms: &ModelCost) -> f64 {
    let late = part_beyond(terms.first_byte_ratio, IN_TIME_BOUNDS);
    let cut = part_beyond(terms.end_ratio, WHOLE_BOUNDS);
    (1.0 - (1.0 - LATE_WORTH) * late) * (1.0 - cut)
}

/// 0 up to the first bound, 1 from the second.
fn part_beyond(value: f64, (low, high): (f64, f64)) -> f64 {
    ((value - low) / (high - low)).clamp(0.0, 1.0)
}
