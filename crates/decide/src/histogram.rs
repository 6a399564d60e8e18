//! Decaying histograms of qualities and of times.
//!
//! Both store cumulative weights: a query is one look-up and an observation updates many bins,
//! because a decision makes many queries and a request brings few observations.

use std::time::Duration;

use crate::tuning::HISTOGRAM_WINDOW;

const QUALITY_BINS: usize = 100;
/// Bits that select the bin within an octave.
const TIME_MANTISSA_BITS: u32 = 3;
const TIME_BINS: usize = 176;

/// Histogram of ratings from 0 to 1 in steps of 0.01.
#[derive(Debug, Clone)]
pub struct QualityHistogram {
    /// Weight of the ratings in a bin and in all higher bins.
    weight_at_least: [f32; QUALITY_BINS],
    sum: f64,
    sum_of_squares: f64,
}

impl Default for QualityHistogram {
    fn default() -> Self {
        QualityHistogram { weight_at_least: [0.0; QUALITY_BINS], sum: 0.0, sum_of_squares: 0.0 }
    }
}

impl QualityHistogram {
    /// Adds a rating.
    pub fn add(&mut self, quality: f64) {
        if self.weight_at_least[0] >= HISTOGRAM_WINDOW {
            self.weight_at_least.iter_mut().for_each(|weight| *weight *= 0.5);
            self.sum *= 0.5;
            self.sum_of_squares *= 0.5;
        }
        let bin = quality_bin(quality);
        self.weight_at_least[..=bin].iter_mut().for_each(|weight| *weight += 1.0);
        self.sum += quality;
        self.sum_of_squares += quality * quality;
    }

    /// Weight of all ratings.
    pub fn total(&self) -> f64 {
        f64::from(self.weight_at_least[0])
    }

    /// Weight of the ratings that are at least `target`.
    pub fn weight_at_least(&self, target: f64) -> f64 {
        f64::from(self.weight_at_least[quality_bin(target)])
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
    // NB: the small term prevents targets such as 0.7 from rounding into the bin below.
    let bin = (quality * QUALITY_BINS as f64 + 1e-9) as usize;
    bin.min(QUALITY_BINS - 1)
}

/// Histogram of times from about 1 ms to over an hour, with eight bins per octave.
#[derive(Debug, Clone)]
pub struct TimeHistogram {
    /// Weight of the times in all lower bins; the last element is the total weight.
    cumulative: [f32; TIME_BINS + 1],
}

impl Default for TimeHistogram {
    fn default() -> Self {
        TimeHistogram { cumulative: [0.0; TIME_BINS + 1] }
    }
}

impl TimeHistogram {
    /// Adds a time.
    pub fn add(&mut self, time: Duration) {
        if self.cumulative[TIME_BINS] >= HISTOGRAM_WINDOW {
            self.cumulative.iter_mut().for_each(|weight| *weight *= 0.5);
        }
        let bin = time_bin(time);
        self.cumulative[bin + 1..].iter_mut().for_each(|weight| *weight += 1.0);
    }

    /// Weight of all times.
    pub fn total(&self) -> f64 {
        f64::from(self.cumulative[TIME_BINS])
    }

    /// Weight of the times in bins that lie entirely below the bin of `limit`.
    pub fn weight_within(&self, limit: Duration) -> f64 {
        f64::from(self.cumulative[time_bin(limit)])
    }
}

fn time_bin(time: Duration) -> usize {
    const MICROS_PER_SECOND: u64 = 1_000_000;
    /// Shorter times share the first bin; a power of two, so that it is the start of an octave.
    const MIN_MICROS: u64 = 1 << 10;
    let micros = time.as_secs().saturating_mul(MICROS_PER_SECOND) + u64::from(time.subsec_micros());
    let micros = micros.max(MIN_MICROS);
    let octave = micros.ilog2();
    let mantissa = (micros >> (octave - TIME_MANTISSA_BITS)) & ((1 << TIME_MANTISSA_BITS) - 1);
    let bin = ((octave - MIN_MICROS.ilog2()) << TIME_MANTISSA_BITS) as usize;
    (bin + mantissa as usize).min(TIME_BINS - 1)
}
