//! Refuses requests that cannot be served in time, before they are sent.
//!
//! Load: bursts of 3.5 to 5 times the usual traffic for 5 to 7 s, in which 75 to 347 requests a day
//! ended at the caller's deadline without an answer. Each of them occupied a place, and its caller
//! could not try again in time.
//!
//! Every error of the inputs must lead to admission, since a request refused by mistake is lost
//! for certain. So half of the forecast is compared with the time left ([`FORECAST_SHARE`]): a
//! forecast that is twice too long refuses nothing that could be served. A service of which less
//! than half of the places are taken ([`MIN_TAKEN_SHARE`]) has no queue that could justify a
//! refusal. A missing or invalid input admits.
//!
//! One in [`FLOOR_INTERVAL`] requests of each priority that would be refused is admitted, so that
//! none starves and a wrong forecast is corrected by new answers.

use std::{collections::BTreeMap, time::Duration};

use super::{decayed_rate::DecayedRate, fleet::Places, hash::mix};

/// Part of the forecast that is compared with the time left.
const FORECAST_SHARE: f64 = 0.5;
/// Part of the places below which nothing is refused.
const MIN_TAKEN_SHARE: f64 = 0.5;
/// Number of requests of one priority that would be refused, of which one is admitted.
pub const FLOOR_INTERVAL: u32 = 10;
/// Part of a request's objective for which it waits for a place at most, as for cold servers.
const MAX_WAIT_SHARE: f64 = 0.25;
/// Part of the time left for which it waits at most. A request that waited until its deadline could
/// neither be answered nor refused in time.
const MAX_WAIT_LEFT_SHARE: f64 = 0.5;
/// Minimum time after which a refused caller is to return.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Maximum of that time without its random part. Bursts last 5 to 7 s, and a forecast may be wrong.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);
/// Completions per second below which the rate counts as unknown: one completion, 5 s ago.
const MIN_COMPLETIONS_PER_S: f64 = 0.007;

/// A request before its first send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionRequest {
    /// Priority, 0 first.
    pub priority: u8,
    /// Time left to the deadline.
    pub time_left: Duration,
    /// Target time to the answer.
    pub objective: Duration,
    /// Part of the forecast that is due to the request's own size, in milliseconds.
    pub own_ms: f64,
    /// Whether the request may have run.
    pub has_run: bool,
    /// Whether the request resumes a stream.
    pub is_resumed: bool,
    /// Whether the request has waited for a place already.
    pub has_waited: bool,
}

/// State of the service of the request.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServiceState {
    /// Forecast time to the start of the answer in milliseconds, if there is one.
    pub first_byte_ms: Option<f64>,
    /// Places of the open servers, if a fresh view exists.
    pub places: Option<Places>,
    /// Places of this entry's requests that become free per second, if known.
    pub completions_per_s: Option<f64>,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The answer would begin too late, though places are free.
    LateStart,
    /// The answer would begin too late, and no place becomes free soon enough.
    NoPlace,
}

impl RefusalReason {
    /// Stable name for logs.
    pub fn name(self) -> &'static str {
        match self {
            RefusalReason::LateStart => "late_start",
            RefusalReason::NoPlace => "no_place",
        }
    }
}

/// Decision about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request is sent.
    Admit,
    /// The request waits for a place, at most until this time, and is then decided again.
    WaitUntil(Duration),
    /// The request is refused.
    Refuse {
        /// Time after which the caller is to return, its random part included.
        retry_after: Duration,
        /// Why it is refused.
        reason: RefusalReason,
    },
}

/// Position of a waiting request: by priority, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitTicket {
    priority: u8,
    number: u64,
}

/// Admission of one service's requests at one entry.
#[derive(Debug, Default)]
pub struct Admission {
    /// Requests that would have been refused, by priority.
    refusable: BTreeMap<u8, u32>,
    /// Waiting requests, each with the number of places that become free within its wait.
    waiting: BTreeMap<WaitTicket, usize>,
    /// Number of requests that have joined the queue so far.
    joined: u64,
    completions: DecayedRate,
}

impl Admission {
    /// Decides on a request; `draw` is random, from 0 to 1.
    pub fn decide(
        &mut self,
        request: AdmissionRequest,
        service: ServiceState,
        draw: f64,
        now: Duration,
    ) -> Decision {
        let Some(places) = service.places.filter(|places| places.total > 0) else {
            return Decision::Admit;
        };
        let taken_share = f64::from(places.taken) / f64::from(places.total);
        if request.has_run || request.is_resumed || taken_share < MIN_TAKEN_SHARE {
            return Decision::Admit;
        }
        let Some(excess) = excess(request, service) else { return Decision::Admit };
        let is_full = places.taken >= places.total;
        if request.has_waited && !is_full {
            return Decision::Admit;
        }
        if is_full && !request.has_waited && self.has_place_for(request, service) {
            return Decision::WaitUntil(now + max_wait(request));
        }
        if self.takes_floor(request.priority) {
            return Decision::Admit;
        }
        let reason = if is_full { RefusalReason::NoPlace } else { RefusalReason::LateStart };
        Decision::Refuse { retry_after: retry_after(excess, draw), reason }
    }

    /// Whether a request that would be refused is admitted nevertheless, one in
    /// [`FLOOR_INTERVAL`] of its priority.
    pub fn takes_floor(&mut self, priority: u8) -> bool {
        let count = self.refusable.entry(priority).or_default();
        let number = *count;
        *count = count.wrapping_add(1);
        // NB: the position differs from block to block. With a fixed one, callers that take turns
        // would be refused every time if their number divides the interval.
        let block = u64::from(number / FLOOR_INTERVAL);
        let position = mix(block.wrapping_add(1) ^ (u64::from(priority) << 32));
        u64::from(number % FLOOR_INTERVAL) == position % u64::from(FLOOR_INTERVAL)
    }

    /// Adds a request to the waiting ones; `None` if as many requests wait that go first as places
    /// become free in time. If the queue is full, the last request is removed for one of higher
    /// priority.
    pub fn join_queue(
        &mut self,
        request: AdmissionRequest,
        service: ServiceState,
    ) -> Option<WaitTicket> {
        if !self.has_place_for(request, service) {
            return None;
        }
        let limit = places_within(max_wait(request), service);
        self.joined += 1;
        let ticket = WaitTicket { priority: request.priority, number: self.joined };
        self.waiting.insert(ticket, limit);
        while self.waiting.last_key_value().is_some_and(|(_, limit)| self.waiting.len() > *limit) {
            self.waiting.pop_last();
        }
        Some(ticket)
    }

    /// Whether a request still waits; a more urgent one may have displaced it.
    pub fn is_waiting(&self, ticket: WaitTicket) -> bool {
        self.waiting.contains_key(&ticket)
    }

    /// Whether a waiting request gets the next place.
    pub fn is_next(&self, ticket: WaitTicket) -> bool {
        self.waiting.keys().next() == Some(&ticket)
    }

    /// Removes a request from the waiting ones.
    pub fn leave_queue(&mut self, ticket: WaitTicket) {
        self.waiting.remove(&ticket);
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Records that a request of this entry has freed its place.
    pub fn record_completion(&mut self, now: Duration) {
        self.completions.add(1.0, now);
    }

    /// Places of this entry's requests that become free per second, if known.
    pub fn completions_per_s(&self, now: Duration) -> Option<f64> {
        Some(self.completions.per_s(now)).filter(|per_s| *per_s >= MIN_COMPLETIONS_PER_S)
    }

    /// Whether a place becomes free in time for a request, after those of the requests that go
    /// first.
    fn has_place_for(&self, request: AdmissionRequest, service: ServiceState) -> bool {
        let first = self.waiting.keys().filter(|ticket| ticket.priority <= request.priority);
        first.count() < places_within(max_wait(request), service)
    }
}

/// Longest wait of a request for a place.
fn max_wait(request: AdmissionRequest) -> Duration {
    let by_deadline = request.time_left.mul_f64(MAX_WAIT_LEFT_SHARE);
    request.objective.mul_f64(MAX_WAIT_SHARE).min(by_deadline)
}

/// Number of places that become free within a time.
fn places_within(time: Duration, service: ServiceState) -> usize {
    let per_s = service.completions_per_s.filter(|per_s| per_s.is_finite()).unwrap_or(0.0);
    (per_s.max(0.0) * time.as_secs_f64()) as usize
}

/// Time by which the forecast exceeds the time left, if half of it does.
///
/// NB: the request's own share of the forecast does not count. Under lasting overload the queue
/// stays just below the point of refusal for small requests, and with their own share counted,
/// large ones would get nothing but the floor.
fn excess(request: AdmissionRequest, service: ServiceState) -> Option<Duration> {
    let is_valid = |ms: &f64| ms.is_finite() && *ms >= 0.0;
    let forecast_ms = service.first_byte_ms.filter(is_valid)?;
    let own_ms = Some(request.own_ms).filter(is_valid).unwrap_or(0.0);
    let delay_ms = (forecast_ms - own_ms).max(0.0);
    let left_ms = request.time_left.as_secs_f64() * 1_000.0;
    let excess_ms = (delay_ms - left_ms).min(MAX_RETRY_AFTER.as_secs_f64() * 1_000.0);
    let is_too_late = delay_ms * FORECAST_SHARE > left_ms;
    is_too_late.then(|| Duration::from_secs_f64(excess_ms / 1_000.0))
}

/// Time after which a refused caller is to return: that in which the excess is worked off, plus a
/// random part of up to the same length, so that callers do not return at once. `draw` is random,
/// from 0 to 1.
pub fn retry_after(excess: Duration, draw: f64) -> Duration {
    let draw = if draw.is_finite() { draw.clamp(0.0, 1.0) } else { 0.0 };
    let base = excess.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    base + base.mul_f64(draw)
}
