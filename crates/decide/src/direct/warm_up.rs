//! Limits the requests that one entry may send to cold backend servers.
//!
//! A server that has just started can take few requests and fails well above that. The bound
//! applies to all entries together, while each entry knows only its own sends, and not even those
//! after a restart. The bound is therefore divided in advance: rendezvous hashing (Thaler and
//! Ravishankar, 1998) of the names of server and entry assigns a few owners to each cold server,
//! and no other entry sends to it. The number of owners follows the bound and not the number of
//! entries, so 4 entries and 420 keep it alike. Half of the bound stays unused, since two parts of
//! a deployment that see different entries may each have their own owners.

use std::{cell::Cell, collections::VecDeque, time::Duration};

use super::bound_sharing::BoundSharing;

/// Window in which a server's requests are counted: a second, and the inaccuracy of timers.
const WINDOW: Duration = Duration::from_millis(1_050);
/// Maximum number of sends remembered for one server; higher than any share of a bound in use.
const MAX_SENDS: usize = 64;

/// Time by which a presumed cold period must be extended to be published again. An unreachable
/// server is tried several times a second; one message a second about it is enough.
const MIN_PUBLISH_EXTENSION: Duration = Duration::from_secs(1);

/// Fraction of the objective for which a request waits for a cold server. A caller that is refused
/// after that has time to retry and be served within its objective.
const MAX_WAIT_FRACTION: f64 = 0.25;

/// Warm-up of the backend servers of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUp {
    /// Time for which a server is cold after its start.
    pub time: Duration,
    /// Requests a second that a cold server can take.
    pub requests_per_s: f64,
}

/// Tolerance for requests to cold servers, and the delay of their reports.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdServerBound {
    /// Factor on the rate that a cold server can take.
    pub overshoot: f64,
    /// Requests a second allowed in addition to that rate.
    pub tolerance: f64,
    /// Time within which a restarted server has reported that it is cold.
    pub report_delay: Duration,
}

impl ColdServerBound {
    /// Maximum number of requests to a cold server within any second, from all entries together.
    pub fn max_requests_per_second(&self, warm_up: WarmUp) -> u32 {
        let max = warm_up.requests_per_s * self.overshoot + self.tolerance;
        // NB: the conversion turns a negative number or NaN into 0.
        max.floor() as u32
    }
}

/// Why a server counts as cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdReason {
    /// The server reports it.
    Reported,
    /// The server could not be reached and may have restarted since.
    Unreachable,
    /// The data centre was reinstated after an evacuation.
    Reinstated,
}

/// Warm-up state of one server, and this entry's recent sends to it.
#[derive(Debug, Default)]
pub struct WarmUpState {
    reported_until: Duration,
    presumed: Option<(Duration, ColdReason)>,
    /// End of the presumed cold period that was last published.
    published_until: Duration,
    sent: VecDeque<Duration>,
    /// Generation of the list of entries for which the share was computed, and the share.
    share: Cell<Option<(u64, u32)>>,
}

impl WarmUpState {
    /// Applies the reported end of the cold period; a time in the past if the server is warm.
    pub fn apply_reported(&mut self, until: Duration) {
        self.reported_until = until;
    }

    /// Presumes that the server is cold until then, whatever it has reported before. Returns
    /// whether this is to be published: no period was published, or only one that ends much sooner.
    pub fn presume_cold(&mut self, until: Duration, reason: ColdReason) -> bool {
        if self.presumed.is_none_or(|(before, _)| before < until) {
            self.presumed = Some((until, reason));
        }
        let is_due = until >= self.published_until + MIN_PUBLISH_EXTENSION;
        if is_due {
            self.published_until = until;
        }
        is_due
    }

    /// Why the server counts as cold; `None` if it does not.
    pub fn cold_reason(&self, now: Duration) -> Option<ColdReason> {
        if now < self.reported_until {
            return Some(ColdReason::Reported);
        }
        self.presumed.filter(|(until, _)| now < *until).map(|(_, reason)| reason)
    }

    /// End of the cold period.
    pub fn cold_until(&self) -> Duration {
        self.presumed.map_or(self.reported_until, |(until, _)| until.max(self.reported_until))
    }

    /// Records a request sent to the server.
    pub fn record_sent(&mut self, now: Duration) {
        if self.sent.len() == MAX_SENDS {
            self.sent.pop_front();
        }
        // Requests lent to other entries are dated ahead.
        let index = self.sent.partition_point(|at| *at <= now);
        self.sent.insert(index, now);
    }

    /// Records that a request planned for `planned_at` is sent only now.
    pub fn reschedule_sent(&mut self, planned_at: Duration, now: Duration) {
        if let Some(index) = self.sent.iter().position(|at| *at == planned_at) {
            self.sent.remove(index);
        }
        self.record_sent(now);
    }

    /// Number of requests sent within the last second, except the request placed at `placed_at`.
    pub fn recent_sends_except(&self, placed_at: Duration, now: Duration) -> usize {
        let recent = self.sent.iter().filter(|at| **at + WINDOW > now).count();
        let own = placed_at + WINDOW > now && self.sent.contains(&placed_at);
        recent - usize::from(own)
    }

    /// When this entry may next send a request to the cold server, with `share` requests a second;
    /// `None` if it is not an owner.
    pub fn next_send_at(&self, share: u32) -> Option<Duration> {
        let share = share as usize;
        if share == 0 {
            return None;
        }
        // NB: with fewer than `share` sends remembered, a request may be sent at once.
        let last = self.sent.len().checked_sub(share).and_then(|index| self.sent.get(index));
        Some(last.map_or(Duration::ZERO, |at| *at + WINDOW))
    }

    /// This entry's share of the requests to the server with this hash.
    pub fn share(&self, server: u64, max: u32, bound_sharing: &BoundSharing) -> u32 {
        match self.share.get() {
            Some((generation, share)) if generation == bound_sharing.generation() => share,
            _ => {
                let share = bound_sharing.server_share(server, max);
                self.share.set(Some((bound_sharing.generation(), share)));
                share
            }
        }
    }

    /// Discards the cached share, since the bound has changed.
    pub fn reset_share(&self) {
        self.share.set(None);
    }
}

/// Limits on requests to the cold servers of a fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdServerPacing {
    /// Time for which a server is cold after its start.
    pub warm_up_time: Duration,
    /// Requests within a second to one server, from all entries together.
    pub max_requests_per_second: u32,
    /// Time within which a restarted server has reported that it is cold.
    pub report_delay: Duration,
    /// Time until which the sends of an earlier incarnation of this entry may still count.
    pub not_before: Duration,
}

impl ColdServerPacing {
    /// Derives the limits from a service's warm-up; `None` if its servers need none.
    pub fn of(warm_up: Option<WarmUp>, bound: Option<ColdServerBound>) -> Option<Self> {
        let (warm_up, bound) = (warm_up?, bound?);
        let max_requests_per_second = bound.max_requests_per_second(warm_up);
        Some(ColdServerPacing {
            warm_up_time: warm_up.time,
            max_requests_per_second,
            report_delay: bound.report_delay,
            not_before: WINDOW,
        })
    }
}

/// Longest time for which a request with this objective waits for a cold server.
pub fn max_cold_wait(objective: Duration) -> Duration {
    objective.mul_f64(MAX_WAIT_FRACTION)
}
