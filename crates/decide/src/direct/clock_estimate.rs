//! The time of day, by clocks of machines that may jump by seconds and come back.
//!
//! The steady clock of a process never jumps. What the time of day is ahead of it is read now and then;
//! the median of the readings outlasts a jump that is taken back. A process that started within a jump
//! is told right by the median over what other entries believe.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Readings that are kept. A clock that is set for good is followed once half of them tell so.
const MOST_READINGS: usize = 61;
/// Other entries whose belief is kept.
const MOST_OTHERS: usize = 4_096;

/// What one entry believes the time of day to be.
#[derive(Debug, Default, Clone)]
pub struct ClockEstimate {
    /// What the time of day was ahead of the steady clock, in milliseconds.
    readings: VecDeque<i64>,
    /// What others believe it to be ahead of this entry's steady clock, in milliseconds.
    peers: HashMap<String, i64>,
}

impl ClockEstimate {
    /// Takes a reading of both clocks in: milliseconds since 1970, and the steady clock.
    pub fn record_reading(&mut self, unix_ms: u64, now: Duration) {
        self.readings.push_back(signed(unix_ms) - millis(now));
        if self.readings.len() > MOST_READINGS {
            self.readings.pop_front();
        }
    }

    /// Milliseconds since 1970 by this entry's own clocks; none before the first reading.
    pub fn local_unix_ms(&self, now: Duration) -> Option<u64> {
        let lead = median(self.readings.iter().copied())?;
        Some(unsigned(lead + millis(now)))
    }

    /// Another entry believes that it was `unix_ms` at `at` on the steady clock.
    pub fn apply_peer(&mut self, entry: &str, unix_ms: u64, at: Duration) {
        let lead = signed(unix_ms) - millis(at);
        if self.peers.len() < MOST_OTHERS || self.peers.contains_key(entry) {
            self.peers.insert(entry.to_owned(), lead);
        }
    }

    /// Milliseconds since 1970 by what most entries believe.
    pub fn unix_ms(&self, now: Duration) -> Option<u64> {
        let own = median(self.readings.iter().copied())?;
        let lead = median(self.peers.values().copied().chain([own]))?;
        Some(unsigned(lead + millis(now)))
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

/// NB: a time that another process made up must not overflow the sums.
fn signed(unix_ms: u64) -> i64 {
    i64::try_from(unix_ms).unwrap_or(i64::MAX).min(i64::MAX / 4)
}

fn unsigned(unix_ms: i64) -> u64 {
    u64::try_from(unix_ms).unwrap_or_default()
}
