//! Estimates wall-clock time from clocks of machines that may jump by seconds and back.
//!
//! The monotonic clock of a process never jumps. The offset of the wall clock from it is sampled
//! regularly, and the median of the samples is not affected by a temporary jump. A process that
//! started during a jump is corrected by the median over the estimates of other entries.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Number of samples kept. A permanent change of the clock is followed once half of them show it.
const MAX_READINGS: usize = 61;
/// Number of other entries whose estimate is kept.
const MAX_PEERS: usize = 4_096;

/// One entry's estimate of wall-clock time.
#[derive(Debug, Default, Clone)]
pub struct ClockEstimate {
    /// Sampled offsets of the wall clock from the monotonic clock, in milliseconds.
    readings: VecDeque<i64>,
    /// Offsets of other entries' estimates from this entry's monotonic clock, in milliseconds.
    peers: HashMap<String, i64>,
}

impl ClockEstimate {
    /// Records a sample of both clocks: Unix time in milliseconds, and the monotonic clock.
    pub fn record_reading(&mut self, unix_ms: u64, now: Duration) {
        self.readings.push_back(signed(unix_ms) - millis(now));
        if self.readings.len() > MAX_READINGS {
            self.readings.pop_front();
        }
    }

    /// Unix time in milliseconds by this entry's own clocks; `None` before the first sample.
    pub fn local_unix_ms(&self, now: Duration) -> Option<u64> {
        let offset_ms = median(self.readings.iter().copied())?;
        Some(unsigned(offset_ms + millis(now)))
    }

    /// Records that another entry's estimate was `unix_ms` at `at` on the monotonic clock.
    pub fn apply_peer(&mut self, entry: &str, unix_ms: u64, at: Duration) {
        let offset_ms = signed(unix_ms) - millis(at);
        if self.peers.len() < MAX_PEERS || self.peers.contains_key(entry) {
            self.peers.insert(entry.to_owned(), offset_ms);
        }
    }

    /// Unix time in milliseconds by the median over all entries; `None` before the first sample.
    pub fn unix_ms(&self, now: Duration) -> Option<u64> {
        let own = median(self.readings.iter().copied())?;
        let offset_ms = median(self.peers.values().copied().chain([own]))?;
        Some(unsigned(offset_ms + millis(now)))
    }
}

fn median(values: impl Iterator<Item = i64>) -> Option<i64> {
    let mut values: Vec<i64> = values.collect();
    let middle = values.len() / 2;
    (!values.is_empty()).then(|| *values.select_nth_unstable(middle).1)
}

fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX / 4)
}

/// NB: an invalid time from another process must not overflow the sums.
fn signed(unix_ms: u64) -> i64 {
    i64::try_from(unix_ms).unwrap_or(i64::MAX).min(i64::MAX / 4)
}

fn unsigned(unix_ms: i64) -> u64 {
    u64::try_from(unix_ms).unwrap_or_default()
}
