//! Price of server time from the prefill that all entries place.

/// Utilization up to which server time is free, and from which it has its highest price. The
/// expected prefill is an upper estimate: another entry may have had a part cached, and an entry
/// that has just started expects slow engines. With 0.7 and 1.1, a deployment with fast engines lost
/// larger models on a day on which its servers had room.
const UTILIZATION_BOUNDS: (f64, f64) = (0.9, 1.3);
/// Factors of the price by priority, 0 being the most urgent; the last applies to all others.
const PRIORITY_FACTORS: [f64; 3] = [1.0, 1.25, 1.5];

/// How busy the servers of a service are with prefill.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Congestion {
    utilization: Option<f64>,
}

impl Congestion {
    /// Creates it from the prefill placed per second over the number of open servers, 1 being
    /// servers that only prefill; `None` if that is unknown.
    pub fn new(utilization: Option<f64>) -> Self {
        Congestion { utilization: utilization.filter(|utilization| utilization.is_finite()) }
    }

    /// Price of server time for a request of this priority, as a fraction of the highest price,
    /// from 0 to 1; 0 if the utilization is unknown.
    pub fn price(&self, priority: u8) -> f64 {
        let Some(utilization) = self.utilization else { return 0.0 };
        let (low, high) = UTILIZATION_BOUNDS;
        let base = ((utilization - low) / (high - low)).clamp(0.0, 1.0);
        let last = PRIORITY_FACTORS.len() - 1;
        (base * PRIORITY_FACTORS[usize::from(priority).min(last)]).min(1.0)
    }
}
