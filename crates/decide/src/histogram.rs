//! Small histograms that forget: one over qualities, one over times.

use std::time::Duration;

use crate::tuning::HISTOGRAM_WINDOW;

const QUALITY_BINS: usize = 100;
const TIME_BINS_PER_OCTAVE: f64 = 8.0;
const TIME_BINS: usize = 168;

/// Ratings from 0 to 1 in hundredths.
#[derive(Debug, Clone)]
pub struct QualityHistogram {
    bins: [f32; QUALITY_BINS],
    total: f32,
    sum: f64,
    sum_of_squares: f64,
}

impl Default for QualityHistogram {
    fn default() -> Self {
        QualityHistogram { bins: [0.0; QUALITY_BINS], total: 0.0, sum: 0.0, sum_of_squares: 0.0 }
    }
}

impl QualityHistogram {
    /// Adds a rating.
    pub fn add(&mut self, quality: f64) {
        if self.total >= HISTOGRAM_WINDOW {
            self.forget_half();
        }
        self.bins[quality_bin(quality)] += 1.0;
        self.total += 1.0;
        self.sum += quality;
        self.sum_of_squares += quality * quality;
    }

    /// Weight of all ratings.
    pub fn total(&self) -> f64 {
        f64::from(self.total)
    }

    /// Weight of the ratings of at least `target`.
    pub fn at_least(&self, target: f64) -> f64 {
        let weight: f32 = self.bins[quality_bin(target)..].iter().sum();
        f64::from(weight)
    }

    /// Mean and standard deviation.
    pub fn moments(&self) -> (f64, f64) {
        let total = self.total().max(1.0);
        let mean = self.sum / total;
        let variance = (self.sum_of_squares / total - mean * mean).max(0.0);
        (mean, variance.sqrt())
    }

    fn forget_half(&mut self) {
        self.bins.iter_mut().for_each(|bin| *bin *= 0.5);
        self.total *= 0.5;
        self.sum *= 0.5;
        self.sum_of_squares *= 0.5;
    }
}

fn quality_bin(quality: f64) -> usize {
    // NB: the small term keeps targets such as 0.7 on the right side of their bin's edge.
    let bin = (quality * QUALITY_BINS as f64 + 1e-9) as usize;
    bin.min(QUALITY_BINS - 1)
}

/// Times from a millisecond to half an hour, eight bins to a doubling.
#[derive(Debug, Clone)]
pub struct TimeHistogram {
    bins: [f32; TIME_BINS],
    total: f32,
}

impl Default for TimeHistogram {
    fn default() -> Self {
        TimeHistogram { bins: [0.0; TIME_BINS], total: 0.0 }
    }
}

impl TimeHistogram {
    /// Adds a time.
    pub fn add(&mut self, time: Duration) {
        if self.total >= HISTOGRAM_WINDOW {
            self.bins.iter_mut().for_each(|bin| *bin *= 0.5);
            self.total *= 0.5;
        }
        self.bins[time_bin(time)] += 1.0;
        self.total += 1.0;
    }

    /// Weight of all times.
    pub fn total(&self) -> f64 {
        f64::from(self.total)
    }

    /// Weight of the times that are surely no longer than `limit`.
    pub fn within(&self, limit: Duration) -> f64 {
        let weight: f32 = self.bins[..time_bin(limit)].iter().sum();
        f64::from(weight)
    }
}

fn time_bin(time: Duration) -> usize {
    let ms = (time.as_secs_f64() * 1e3).max(1.0);
    ((ms.log2() * TIME_BINS_PER_OCTAVE) as usize).min(TIME_BINS - 1)
}
