//! The agent's admission queue for the slots of its backend server.
//!
//! Start-time fair queueing (Goyal et al., 1996): each workspace has a virtual clock that
//! advances by the work it requests, divided by its weight; the request with the lowest start
//! tag is dispatched first. Small workspaces therefore do not wait for the backlog of large ones.
//! A full queue drops the request with the highest tag, and requests past their deadline are not
//! started.

use std::{collections::HashMap, time::Duration};

use pondwalk_types::{MAX_SERVER_BACKOFF, Refusal, WorkspaceId};

use crate::direct::{GranterRole, PermitBuckets, RateLimit};

/// A request for a slot.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuedWork<T> {
    /// Identifies the request to the caller of the queue.
    pub ticket: T,
    /// The workspace of the request.
    pub workspace: WorkspaceId,
    /// From 0 (shed first) to 9 (shed last); each level doubles the share.
    pub priority: u8,
    /// The workspace's weight in fair queueing.
    pub share_weight: f64,
    /// Expected service time.
    pub expected_service_time: Duration,
    /// Time by which the answer is due.
    pub deadline: Duration,
    /// Time allowed by the caller, reported in refusals.
    pub stated_deadline: Duration,
}

/// The outcome of offering a request to the queue.
#[derive(Debug, Clone, PartialEq)]
pub enum Admission<T> {
    /// The request starts now.
    Start,
    /// The request waits; it may have displaced another one.
    Queued {
        /// The displaced request, if any; it has not run.
        displaced: Option<(T, Refusal)>,
    },
    /// The request is refused and has not run.
    Refused(Refusal),
}

/// Requests leaving the queue when a slot becomes free.
#[derive(Debug, Clone, PartialEq)]
pub struct Dispatch<T> {
    /// The request that takes the slot, if any.
    pub start: Option<T>,
    /// Requests past their deadline; they have not run.
    pub shed: Vec<(T, Refusal)>,
}

#[derive(Debug, Clone)]
struct Waiting<T> {
    work: QueuedWork<T>,
    start_tag: f64,
}

/// The queue of one backend server.
#[derive(Debug, Clone)]
pub struct AdmissionQueue<T> {
    slots: u32,
    limit: u32,
    running: u32,
    clock: f64,
    clocks: HashMap<WorkspaceId, f64>,
    waiting: Vec<Waiting<T>>,
    /// End of the backoff that the server requested.
    backoff_until: Duration,
    /// The rate limit that the server announced, if any.
    rate_limit: Option<RateLimit>,
    permits: PermitBuckets,
}

impl<T: Clone + PartialEq> AdmissionQueue<T> {
    /// An empty queue of at most `limit` requests for a server with `slots` slots.
    pub fn new(slots: u32, limit: u32) -> Self {
        AdmissionQueue {
            slots,
            limit,
            running: 0,
            clock: 0.0,
            clocks: HashMap::new(),
            waiting: Vec::new(),
            backoff_until: Duration::ZERO,
            rate_limit: None,
            permits: PermitBuckets::default(),
        }
    }

    /// Number of requests running and waiting.
    pub fn load(&self) -> u32 {
        self.running + self.waiting.len() as u32
    }

    /// Number of requests running.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Offers an arriving request to the queue.
    pub fn offer(&mut self, now: Duration, work: QueuedWork<T>) -> Admission<T> {
        if now >= work.deadline {
            return Admission::Refused(too_late(&work));
        }
        if now < self.backoff_until {
            let left = self.backoff_until - now;
            let retry_after_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
            return Admission::Refused(Refusal::Overloaded { retry_after_ms });
        }
        if self.running < self.slots && self.waiting.is_empty() {
            if let Err(next_permit_at) = self.take_permit(now) {
                let left = next_permit_at.saturating_sub(now);
                let retry_after_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
                return Admission::Refused(Refusal::Overloaded { retry_after_ms });
            }
            let start_tag = self.start_tag(&work);
            self.start(start_tag);
            return Admission::Start;
        }
        if now + self.min_wait(&work) >= work.deadline {
            return Admission::Refused(too_late(&work));
        }
        let start_tag = self.start_tag(&work);
        if (self.waiting.len() as u32) < self.limit {
            self.waiting.push(Waiting { work, start_tag });
            return Admission::Queued { displaced: None };
        }
        self.displace(work, start_tag)
    }

    /// Starts the backoff that the server requested, capped at [`MAX_SERVER_BACKOFF`].
    ///
    /// A later, shorter backoff does not shorten an earlier one.
    pub fn back_off(&mut self, now: Duration, backoff: Duration) {
        self.backoff_until = self.backoff_until.max(now + backoff.min(MAX_SERVER_BACKOFF));
    }

    /// Sets or lifts the rate limit that the server announced.
    ///
    /// The agent is the only sender to the server, so the whole limit is available to it.
    pub fn set_rate_limit(&mut self, limit: Option<RateLimit>) {
        self.rate_limit = limit;
    }

    /// Takes a permit for one start, or returns the time at which one may be available.
    fn take_permit(&mut self, now: Duration) -> Result<(), Duration> {
        /// Key of the only server in the buckets.
        const SERVER_NAME: &str = "";
        self.rate_limit.map_or(Ok(()), |limit| {
            self.permits.take(SERVER_NAME, limit, GranterRole::Primary, now)
        })
    }

    /// Records the end of a running request and dispatches the next one.
    pub fn finish(&mut self, now: Duration) -> Dispatch<T> {
        self.running = self.running.saturating_sub(1);
        self.dispatch_next(now)
    }

    /// Starts the next waiting request if a slot is free, and sheds requests past their deadline.
    pub fn dispatch_next(&mut self, now: Duration) -> Dispatch<T> {
        let mut dispatch = Dispatch { start: None, shed: self.shed_expired(now) };
        if self.running >= self.slots || now < self.backoff_until {
            return dispatch;
        }
        let first = (0..self.waiting.len())
            .min_by(|a, b| self.waiting[*a].start_tag.total_cmp(&self.waiting[*b].start_tag));
        if let Some(first) = first.filter(|_| self.take_permit(now).is_ok()) {
            let Waiting { work, start_tag } = self.waiting.remove(first);
            self.start(start_tag);
            dispatch.start = Some(work.ticket);
        }
        dispatch
    }

    /// Removes a waiting request; returns whether it was waiting, and so has not run.
    pub fn cancel(&mut self, ticket: &T) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| waiting.work.ticket != *ticket);
        self.waiting.len() < before
    }

    /// Removes all waiting requests that match `predicate`; none of them has run.
    pub fn cancel_where(&mut self, predicate: impl Fn(&T) -> bool) -> Vec<T> {
        let (removed, kept) =
            std::mem::take(&mut self.waiting).into_iter().partition(|w| predicate(&w.work.ticket));
        self.waiting = kept;
        let removed: Vec<Waiting<T>> = removed;
        removed.into_iter().map(|waiting| waiting.work.ticket).collect()
    }

    /// Changes the number of slots and the length of the queue, as when a server changes its role.
    pub fn set_limits(&mut self, slots: u32, limit: u32) {
        self.slots = slots;
        self.limit = limit;
    }

    /// Assigns the next start tag of the workspace and advances its virtual clock.
    fn start_tag(&mut self, work: &QueuedWork<T>) -> f64 {
        self.drop_idle_clocks();
        let weight = work.share_weight * f64::from(1_u32 << work.priority.min(9));
        let length = work.expected_service_time.as_secs_f64().max(1e-3) / weight;
        let clock = self.clocks.entry(work.workspace.clone()).or_insert(self.clock);
        let start_tag = clock.max(self.clock);
        *clock = start_tag + length;
        start_tag
    }

    fn start(&mut self, start_tag: f64) {
        self.running += 1;
        self.clock = self.clock.max(start_tag);
    }

    /// Drops the clocks of workspaces without a backlog once there are many.
    fn drop_idle_clocks(&mut self) {
        const CLEANUP_THRESHOLD: usize = 256;
        if self.clocks.len() > CLEANUP_THRESHOLD {
            let now = self.clock;
            self.clocks.retain(|_, clock| *clock > now);
        }
    }

    /// Lower estimate of the wait for a slot behind the waiting requests.
    fn min_wait(&self, work: &QueuedWork<T>) -> Duration {
        let queued_work: Duration = self.waiting.iter().map(|w| w.work.expected_service_time).sum();
        // NB: deliberately low, because the request may overtake others in the queue.
        queued_work.min(work.expected_service_time * self.waiting.len() as u32)
            / self.slots.max(1)
            / 2
    }

    fn displace(&mut self, work: QueuedWork<T>, start_tag: f64) -> Admission<T> {
        let retry_after_ms = self.retry_after_ms(&work);
        let overloaded = Refusal::Overloaded { retry_after_ms };
        let last = (0..self.waiting.len())
            .max_by(|a, b| self.waiting[*a].start_tag.total_cmp(&self.waiting[*b].start_tag));
        match last {
            Some(last) if self.waiting[last].start_tag > start_tag => {
                let removed =
                    std::mem::replace(&mut self.waiting[last], Waiting { work, start_tag });
                Admission::Queued { displaced: Some((removed.work.ticket, overloaded)) }
            }
            _ => Admission::Refused(overloaded),
        }
    }

    fn retry_after_ms(&self, work: &QueuedWork<T>) -> u64 {
        let queue = self.waiting.len() as u32 + 1;
        let wait = work.expected_service_time * queue / self.slots.max(1);
        wait.as_millis().clamp(50, 60_000) as u64
    }

    fn shed_expired(&mut self, now: Duration) -> Vec<(T, Refusal)> {
        let (expired, kept) =
            std::mem::take(&mut self.waiting).into_iter().partition(|w| now >= w.work.deadline);
        self.waiting = kept;
        let expired: Vec<Waiting<T>> = expired;
        expired.into_iter().map(|w| (w.work.ticket.clone(), too_late(&w.work))).collect()
    }
}

fn too_late<T>(work: &QueuedWork<T>) -> Refusal {
    Refusal::TooLate { deadline_ms: work.stated_deadline.as_millis() as u64 }
}
