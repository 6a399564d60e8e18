//! Progress of a relayed stream: samples of its pace, and the decision to move it.

use std::time::Duration;

use memchr::memmem;
use pondwalk_decide::direct::{
    StreamDecision, StreamForecast, StreamPace, StreamRest, VersionRule, decide_stream,
};

use super::{events::RequestEvent, in_flight::InFlightRequest};
use crate::{
    event_log::LogPriority,
    forecasts::{engine_for, placement_request},
    placement::Placement,
    sse::CompleteEvents,
    state::State,
};

/// Time for which the caller may not read before the stream's pace is no
/// measure of the server's.
const MAX_CALLER_PAUSE: Duration = Duration::from_millis(50);
/// Time for which a stream to be moved waits for the other server, as a multiple of the forecast.
const MOVE_TIME_FACTOR: f64 = 4.0;
/// Minimum of that time.
const MIN_MOVE_TIME: Duration = Duration::from_millis(500);

/// Timing of a stream that is complete.
#[derive(Debug, Clone, Copy, Default)]
pub struct StreamTiming {
    /// Longest pause between two events, in milliseconds.
    pub max_gap_ms: Option<u64>,
    /// Mean time per token, in milliseconds.
    pub token_ms: Option<f64>,
}

/// A decided move.
#[derive(Debug, Clone, Copy)]
pub struct StreamMove {
    /// Recent time per token, in milliseconds.
    pub token_ms: f64,
    /// Expected time to the end at the present server, in milliseconds.
    pub expected_ms: u64,
    /// Until when the other server must have answered.
    pub until: Duration,
}

/// Progress of one stream over all its servers.
#[derive(Debug)]
pub struct StreamProgress {
    pace: StreamPace,
    event_tokens: f64,
    /// Number of the last event, if event ids are numbers.
    last_number: Option<u64>,
    /// Events that the caller has received.
    received: u64,
    /// Whether a move was tried or the stream was logged as slow.
    is_decided: bool,
}

impl StreamProgress {
    /// Progress of a stream before its first event.
    pub fn new(in_flight: &InFlightRequest) -> Self {
        let job = &in_flight.job;
        let engine = job.service.engine.as_ref();
        let last_number = job.last_event_id.as_deref().and_then(|id| id.parse().ok());
        StreamProgress {
            pace: StreamPace::default(),
            event_tokens: engine.map_or(1.0, |engine| f64::from(engine.event_tokens.max(1))),
            last_number,
            received: last_number.unwrap_or(0),
            is_decided: false,
        }
    }

    /// Records received events, and the pace of the server when a sample is complete. Returns
    /// whether one is.
    pub fn record(
        &mut self,
        events: &CompleteEvents,
        in_flight: &InFlightRequest,
        placement: &Placement,
    ) -> bool {
        let number = events.last_id.as_deref().and_then(|id| id.parse::<u64>().ok());
        let count = match (self.last_number, number) {
            (Some(last), Some(number)) if number > last => number - last,
            _ => count_events(&events.bytes),
        };
        self.last_number = number.filter(|_| events.ends_with_id);
        self.received += count;
        let tokens = count as f64 * self.event_tokens;
        let sample = self.pace.record(tokens, in_flight.core.clock.now());
        if let Some(token_ms) = sample.filter(|_| in_flight.core.settings.policy.shared_load) {
            placement.record_pace(token_ms);
        }
        sample.is_some()
    }

    /// Records for how long the caller did not take the events.
    pub fn record_caller_pause(&mut self, pause: Duration, now: Duration) {
        if pause > MAX_CALLER_PAUSE {
            self.pace.on_caller_paused(now);
        }
    }

    /// Records that the stream continues at another server.
    pub fn on_server_changed(&mut self) {
        self.pace.on_server_changed();
    }

    /// Timing of the stream so far.
    pub fn timing(&self) -> StreamTiming {
        StreamTiming {
            max_gap_ms: Some(self.pace.max_gap().as_millis() as u64),
            token_ms: self.pace.mean_token_ms(),
        }
    }

    /// Decides whether the stream is to be moved now; at most once. Logs a stream that would miss
    /// its deadline and cannot be moved.
    pub fn take_move(
        &mut self,
        in_flight: &InFlightRequest,
        placement: &Placement,
    ) -> Option<StreamMove> {
        let policy = &in_flight.core.settings.policy;
        if self.is_decided || !policy.slow_streams || !policy.shared_load {
            return None;
        }
        let now = in_flight.core.clock.now();
        let job = &in_flight.job;
        let tokens = f64::from(job.prompt.tokens_out) - self.received as f64 * self.event_tokens;
        let rest = StreamRest {
            tokens: tokens.max(0.0),
            token_ms: self.pace.recent_token_ms()?,
            time_left: job.deadline.saturating_sub(now),
        };
        if decide_stream(&rest, None) == StreamDecision::Keep {
            return None;
        }
        // A request that has crashed a server must not run on two servers at once. Without the
        // number of an event, the stream could not continue exactly.
        let may_move = in_flight.core.crash_count(job) == 0
            && self.last_number.is_some()
            && in_flight.can_send_again();
        let elsewhere = forecast_elsewhere(in_flight, placement, now).filter(|_| may_move);
        self.is_decided = true;
        let (token_ms, expected_ms) = (rest.token_ms, rest.expected_ms() as u64);
        match elsewhere.filter(|to| decide_stream(&rest, Some(to)) == StreamDecision::Move) {
            Some(to) => {
                let time = Duration::from_secs_f64(to.first_byte_ms * MOVE_TIME_FACTOR / 1_000.0);
                let time = time.max(MIN_MOVE_TIME).min(rest.time_left / 2);
                Some(StreamMove { token_ms, expected_ms, until: now + time })
            }
            None => {
                log_slow(in_flight, placement, token_ms, expected_ms);
                None
            }
        }
    }
}

/// Logs a stream that is expected to miss its deadline and stays where it is.
pub fn log_slow(
    in_flight: &InFlightRequest,
    placement: &Placement,
    token_ms: f64,
    expected_ms: u64,
) {
    let event = RequestEvent::StreamSlow {
        request: &in_flight.job.id,
        server: placement.server(),
        token_ms,
        expected_ms,
        after_ms: in_flight.after_ms(),
    };
    in_flight.core.event_log.record(LogPriority::Failure, &event);
}

/// Forecast of the rest of the stream at the best other server; `None` if there is none or the
/// other entries' work is not known.
fn forecast_elsewhere(
    in_flight: &InFlightRequest,
    placement: &Placement,
    now: Duration,
) -> Option<StreamForecast> {
    let job = &in_flight.job;
    let mut avoid = in_flight.avoid.clone();
    avoid.push(placement.server().clone());
    let mut state = in_flight.core.state.borrow_mut();
    let State { fleets, engines, .. } = &mut *state;
    let engine = engine_for(engines, job);
    let request = placement_request(engine, job, in_flight.model, &avoid, VersionRule::Any);
    fleets.get(&job.service.name)?.stream_forecast(&request, now)
}

/// Number of complete events.
fn count_events(bytes: &[u8]) -> u64 {
    let count = |pattern: &[u8]| memmem::find_iter(bytes, pattern).count() as u64;
    count(b"\n\n") + count(b"\n\r\n")
}
