//! Which models a request tries, and whether the answer of a smaller one is passed on.
//!
//! The head of an answer tells the model's own confidence before any byte is passed on. A small
//! model's answer is kept if that confidence reaches a threshold, and dropped for a larger
//! model's otherwise. (Cascades of this kind: Chen et al., FrugalGPT, 2023.) How much more
//! confident a middle model is than the smallest is learned from requests that tried both, so
//! that it is asked only where it is likely to do.

use std::collections::HashMap;

/// Number of a model in a route's list, smallest first.
pub type ModelNumber = u8;

/// Confidence, 0 to 100, from which a smaller model's answer is passed on with servers at ease.
// NB: of 50, 56 and 62, and 58, on calm days of both users; see docs/MEASUREMENTS.md.
const KEEP_FROM_CONFIDENCE: f64 = 57.0;
/// Confidence gained by a middle model, until requests that tried both have shown it.
const LIFT_PRIOR: f64 = 12.0;
/// Weight of the newest request in what is known of that.
const LIFT_GAIN: f64 = 0.05;
/// Confidence beyond the threshold that a middle model must be expected to reach.
const LIFT_MARGIN: f64 = 2.0;
/// Largest price of a middle model, as a share of the largest model's, at which it is tried.
const MIDDLE_PRICE_SHARE: f64 = 0.7;
/// Weight of the newest request in the strain.
const STRAIN_GAIN: f64 = 0.06;
/// Strain up to which the threshold stays, and at which it has fallen all the way.
const STRAIN_BOUNDS: (f64, f64) = (0.22, 0.45);
/// How far the threshold falls under strain.
const STRAIN_FALL: f64 = 50.0;

/// The rule for the requests of one service, with what it has learned.
#[derive(Debug, Default)]
pub struct Cascade {
    lifts: HashMap<(ModelNumber, ModelNumber), f64>,
    strain: f64,
}

impl Cascade {
    /// The model to ask next; `None` if the answer at hand is passed on.
    ///
    /// `prices` are those of the route's models, smallest first; an answer without a confidence
    /// is passed on.
    pub fn next_model(
        &self,
        current: ModelNumber,
        confidence: Option<u8>,
        prices: &[f64],
    ) -> Option<ModelNumber> {
        let last = ModelNumber::try_from(prices.len()).ok()?.checked_sub(1)?;
        let confidence = f64::from(confidence?);
        if current >= last || confidence >= self.threshold() {
            return None;
        }
        let dearest = prices.last().copied().unwrap_or_default();
        let does = |model: &ModelNumber| {
            let expected = confidence + self.lift(current, *model);
            let price = prices[usize::from(*model)];
            expected >= self.threshold() + LIFT_MARGIN && price < MIDDLE_PRICE_SHARE * dearest
        };
        // NB: a clamped confidence tells only how far it is off at least.
        let middle = (current + 1..last).find(does).filter(|_| confidence > 0.0);
        Some(middle.unwrap_or(last))
    }

    /// A request was answered by two models with these confidences.
    pub fn learn(&mut self, from: (ModelNumber, u8), to: (ModelNumber, u8)) {
        let told = |confidence: u8| (1..100).contains(&confidence);
        if !told(from.1) || !told(to.1) {
            return;
        }
        let gained = f64::from(to.1) - f64::from(from.1);
        let lift = self.lifts.entry((from.0, to.0)).or_insert(LIFT_PRIOR);
        *lift += LIFT_GAIN * (gained - *lift);
    }

    /// An answer began after this part of its objective, as weighed for its model.
    pub fn note_strain(&mut self, part: f64) {
        self.strain += STRAIN_GAIN * (part.min(2.0) - self.strain);
    }

    /// Confidence from which answers are passed on now.
    pub fn threshold(&self) -> f64 {
        let (low, high) = STRAIN_BOUNDS;
        let strain = ((self.strain - low) / (high - low)).clamp(0.0, 1.0);
        KEEP_FROM_CONFIDENCE - STRAIN_FALL * strain
    }

    fn lift(&self, from: ModelNumber, to: ModelNumber) -> f64 {
        self.lifts.get(&(from, to)).copied().unwrap_or(LIFT_PRIOR)
    }
}
