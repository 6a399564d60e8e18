//! Pace of a relayed stream, and whether the stream is to be moved to a faster server.

use std::{collections::VecDeque, time::Duration};

/// Time over which the time per token is measured.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// Samples by which a stream is rated: two seconds, since the time that work takes at a server may
/// change twice a second.
const RECENT_SAMPLES: usize = 4;
/// Samples from which a stream is rated.
const MIN_SAMPLES: usize = 2;
/// Factor by which the forecast elsewhere must be shorter than the time left.
const MOVE_MARGIN: f64 = 1.25;

/// Tokens received within a time.
#[derive(Debug, Clone, Copy, Default)]
struct Progress {
    time: Duration,
    tokens: f64,
}

impl Progress {
    fn add(&mut self, other: Progress) {
        self.time += other.time;
        self.tokens += other.tokens;
    }

    /// Time per token in milliseconds; `None` without tokens.
    fn token_ms(&self) -> Option<f64> {
        (self.tokens > 0.0).then(|| self.time.as_secs_f64() * 1_000.0 / self.tokens)
    }
}

/// Measures the pace of one stream.
#[derive(Debug, Default)]
pub struct StreamPace {
    window: Progress,
    recent: VecDeque<Progress>,
    total: Progress,
    /// Up to when tokens are counted; `None` before the first event at a server.
    counted_to: Option<Duration>,
    ignored_until: Duration,
    last_event_at: Option<Duration>,
    max_gap: Duration,
}

impl StreamPace {
    /// Records received events of so many tokens. Returns the time per token in milliseconds when a
    /// sample is complete.
    pub fn record(&mut self, tokens: f64, now: Duration) -> Option<f64> {
        let gap = self.last_event_at.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        self.max_gap = self.max_gap.max(gap);
        self.last_event_at = Some(now);
        if now < self.ignored_until {
            return None;
        }
        let time = now.saturating_sub(self.counted_to.replace(now)?);
        let progress = Progress { time, tokens };
        self.window.add(progress);
        self.total.add(progress);
        if self.window.time < SAMPLE_INTERVAL {
            return None;
        }
        let sample = std::mem::take(&mut self.window);
        if self.recent.len() == RECENT_SAMPLES {
            self.recent.pop_front();
        }
        self.recent.push_back(sample);
        sample.token_ms()
    }

    /// Discards the recent samples, since the stream continues at another server.
    pub fn on_server_changed(&mut self) {
        self.window = Progress::default();
        self.recent.clear();
        self.counted_to = None;
    }

    /// Discards the recent samples, since the caller did not read for a while.
    ///
    /// NB: the events that the server sent meanwhile arrive at once, so the time after the pause is
    /// not measured either.
    pub fn on_caller_paused(&mut self, now: Duration) {
        self.on_server_changed();
        self.ignored_until = now + SAMPLE_INTERVAL;
        self.last_event_at = Some(now);
    }

    /// Recent time per token in milliseconds; `None` until it has been measured for a second.
    pub fn recent_token_ms(&self) -> Option<f64> {
        if self.recent.len() < MIN_SAMPLES {
            return None;
        }
        let mut sum = Progress::default();
        self.recent.iter().for_each(|sample| sum.add(*sample));
        sum.token_ms()
    }

    /// Mean time per token in milliseconds, if any was measured.
    pub fn mean_token_ms(&self) -> Option<f64> {
        self.total.token_ms()
    }

    /// Longest pause between two events.
    pub fn max_gap(&self) -> Duration {
        self.max_gap
    }
}

/// Rest of a stream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StreamRest {
    /// Tokens that are still to come, at most.
    pub tokens: f64,
    /// Recent time per token, in milliseconds.
    pub token_ms: f64,
    /// Time until the request's deadline.
    pub time_left: Duration,
}

/// Forecast of a stream that continues at another server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StreamForecast {
    /// Expected time to the first further event, in milliseconds; includes the prefill.
    pub first_byte_ms: f64,
    /// Expected time per token, in milliseconds.
    pub token_ms: f64,
}

/// What to do with a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamDecision {
    /// It is expected to be complete in time.
    Keep,
    /// It would miss its deadline, but not elsewhere.
    Move,
    /// It would miss its deadline, and no other server is expected to complete it in time.
    KeepSlow,
}

impl StreamRest {
    /// Expected time to the end at the present server, in milliseconds.
    pub fn expected_ms(&self) -> f64 {
        self.tokens * self.token_ms
    }
}

/// Decides whether a stream is moved, by the forecast at another server if there is one.
pub fn decide(rest: &StreamRest, elsewhere: Option<&StreamForecast>) -> StreamDecision {
    let left_ms = rest.time_left.as_secs_f64() * 1_000.0;
    if rest.expected_ms() <= left_ms {
        return StreamDecision::Keep;
    }
    let is_in_time = |elsewhere: &StreamForecast| {
        let expected_ms = elsewhere.first_byte_ms + rest.tokens * elsewhere.token_ms;
        expected_ms * MOVE_MARGIN <= left_ms
    };
    if elsewhere.is_some_and(is_in_time) { StreamDecision::Move } else { StreamDecision::KeepSlow }
}
