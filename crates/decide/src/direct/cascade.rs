//! Which models a request tries, and whether the answer of a smaller one is passed on.
//!
//! The head of an answer tells the model's own confidence before any byte is passed on. A cheap
//! model's answer is kept if that confidence reaches a threshold, and dropped for the strongest
//! model's otherwise. (Cascades of this kind: Chen et al., FrugalGPT, 2023.)

/// Confidence, 0 to 100, from which a smaller model's answer is passed on.
// NB: measured on the calm days of both users among 30, 50, 60 and 70; see docs/MEASUREMENTS.md.
const KEEP_FROM_CONFIDENCE: u8 = 50;

/// One model of a cascade.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rung {
    /// The cheapest model; its answer may be dropped.
    First,
    /// The strongest model; its answer is passed on.
    Last,
}

/// The rule for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cascade {
    threshold: u8,
}

impl Default for Cascade {
    fn default() -> Self {
        Cascade { threshold: KEEP_FROM_CONFIDENCE }
    }
}

impl Cascade {
    /// Whether an answer with this confidence is passed on; one without any is.
    pub fn keeps(&self, rung: Rung, confidence: Option<u8>) -> bool {
        match rung {
            Rung::Last => true,
            Rung::First => confidence.is_none_or(|confidence| confidence >= self.threshold),
        }
    }
}
