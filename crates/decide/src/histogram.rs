//! Small histograms that forget: one over qualities, one over times.
//!
//! Both keep running totals, so that a question is one look-up and an observation a short sweep:
//! a decision asks many questions, and a request brings few observations.

use std::time::Duration;

use crate::tuning::HISTOGRAM_WINDOW;

const QUALITY_BINS: usize = 100;
/// Bits of a time that tell bins apart within a doubling.
const TIME_MANTISSA_BITS: u32 = 3;
const TIME_BINS: usize = 176;

/// Ratings from 0 to 1 in hundredths.
#[derive(Debug, Clone)]
pub struct QualityHistogram {
    /// Weight of the ratings in a bin and all above it.
    at_least: [f32; QUALITY_BINS],
    sum: f64,
    sum_of_squares: f64,
}

impl Default for QualityHistogram {
    fn default() -> Self {
        QualityHistogram { at_least: [0.0; QUALITY_BINS], sum: 0.0, sum_of_squares: 0.0 }
    }
}

impl QualityHistogram {
    /// Adds a rating.
    pub fn add(&mut self, quality: f64) {
        if self.at_least[0] >= HISTOGRAM_WINDOW {
            self.at_least.iter_mut().for_each(|weight| *weight *= 0.5);
            self.sum *= 0.5;
            self.sum_of_squares *= 0.5;
        }
        let bin = quality_bin(quality);
        self.at_least[..=bin].iter_mut().for_each(|weight| *weight += 1.0);
        self.sum += quality;
        self.sum_of_squares += quality * quality;
    }

    /// Weight of all ratings.
    pub fn total(&self) -> f64 {
        f64::from(self.at_least[0])
    }

    /// Weight of the ratings of at least `target`.
    pub fn at_least(&self, target: f64) -> f64 {
        f64::from(self.at_least[quality_bin(target)])
    }

    /// Mean and standard deviation.
    pub fn moments(&self) -> (f64, f64) {
        let total = self.total().max(1.0);
        let mean = self.sum / total;
        let variance = (self.sum_of_squares / total - mean * mean).max(0.0);
        (mean, variance.sqrt())
    }
}

fn quality_bin(quality: f64) -> usize {
    // NB: the small term keeps targets such as 0.7 on the right side of their bin's edge.
    let bin = (quality * QUALITY_BINS as f64 + 1e-9) as usize;
    bin.min(QUALITY_BINS - 1)
}

/// Times from a millisecond to an hour, eight bins to a doubling.
#[derive(Debug, Clone)]
pub struct TimeHistogram {
    /// Weight of the times in all bins below one; the last stands for all.
    below: [f32; TIME_BINS + 1],
}

impl Default for TimeHistogram {
    fn default() -> Self {
        TimeHistogram { below: [0.0; TIME_BINS + 1] }
    }
}

impl TimeHistogram {
    /// Adds a time.
    pub fn add(&mut self, time: Duration) {
        if self.below[TIME_BINS] >= HISTOGRAM_WINDOW {
            self.below.iter_mut().for_each(|weight| *weight *= 0.5);
        }
        let bin = time_bin(time);
        self.below[bin + 1..].iter_mut().for_each(|weight| *weight += 1.0);
    }

    /// Weight of all times.
    pub fn total(&self) -> f64 {
        f64::from(self.below[TIME_BINS])
    }

    /// Weight of the times that are surely no longer than `limit`.
    pub fn within(&self, limit: Duration) -> f64 {
        f64::from(self.below[time_bin(limit)])
    }
}

fn time_bin(time: Duration) -> usize {
    const MICROS_PER_SECOND: u64 = 1_000_000;
    /// Shorter times share the first bin; a power of two, so that bins start there.
    const SHORTEST_MICROS: u64 = 1 << 10;
    let micros = time.as_secs().saturating_mul(MICROS_PER_SECOND) + u64::from(time.subsec_micros());
    let micros = micros.max(SHORTEST_MICROS);
    let octave = micros.ilog2();
    let mantissa = (micros >> (octave - TIME_MANTISSA_BITS)) & ((1 << TIME_MANTISSA_BITS) - 1);
    let bin = ((octave - SHORTEST_MICROS.ilog2()) << TIME_MANTISSA_BITS) as usize;
    (bin + mantissa as usize).min(TIME_BINS - 1)
}
