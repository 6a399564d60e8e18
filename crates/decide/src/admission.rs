//! The agent's queue: which waiting request gets the next free slot of its backend server.
//!
//! Weighted fair queueing by start tags (Goyal et al., 1996): each workspace has a virtual clock
//! that moves on by the work it asks for, divided by its weight; the smallest tag goes first.
//! A few large workspaces so wait for each other and not small ones for them. A full queue gives
//! up the largest tag, and work that can no longer be on time is not started.

use std::{collections::HashMap, time::Duration};

use pondwalk_types::{MAX_SERVER_BACKOFF, Refusal, WorkspaceId};

use crate::direct::{Granter, PermitBuckets, ServerLimit};

/// A request that asks for a slot.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuedWork<T> {
    /// The caller's handle on the request.
    pub ticket: T,
    /// Whose request it is.
    pub workspace: WorkspaceId,
    /// From 0 (shed first) to 9 (shed last); each step doubles the share.
    pub priority: u8,
    /// The workspace's weight.
    pub share_weight: f64,
    /// Time the server is expected to work on it.
    pub expected_service: Duration,
    /// When the answer is due.
    pub deadline: Duration,
    /// Deadline as the caller stated it, for the refusal.
    pub stated_deadline: Duration,
}

/// What becomes of a request on arrival.
#[derive(Debug, Clone, PartialEq)]
pub enum Admission<T> {
    /// It may start now.
    Start,
    /// It waits; another one may have lost its place to it.
    Queued {
        /// The request that was put out, if any; it has not run.
        displaced: Option<(T, Refusal)>,
    },
    /// It is refused and has not run.
    Refused(Refusal),
}

/// What happens when a slot becomes free.
#[derive(Debug, Clone, PartialEq)]
pub struct Dispatch<T> {
    /// The request that takes the slot, if any waits.
    pub start: Option<T>,
    /// Requests that can no longer be on time; they have not run.
    pub shed: Vec<(T, Refusal)>,
}

#[derive(Debug, Clone)]
struct Waiting<T> {
    work: QueuedWork<T>,
    tag: f64,
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
    /// Until when the server wants nothing.
    paused_until: Duration,
    /// The rate limit that the server names.
    rate_limit: Option<ServerLimit>,
    permits: PermitBuckets,
}

impl<T: Clone + PartialEq> AdmissionQueue<T> {
    /// An empty queue before a server with `slots` places, at most `limit` requests long.
    pub fn new(slots: u32, limit: u32) -> Self {
        AdmissionQueue {
            slots,
            limit,
            running: 0,
            clock: 0.0,
            clocks: HashMap::new(),
            waiting: Vec::new(),
            paused_until: Duration::ZERO,
            rate_limit: None,
            permits: PermitBuckets::default(),
        }
    }

    /// Requests running and waiting.
    pub fn load(&self) -> u32 {
        self.running + self.waiting.len() as u32
    }

    /// Requests running.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// A request arrives.
    pub fn offer(&mut self, now: Duration, work: QueuedWork<T>) -> Admission<T> {
        if now >= work.deadline {
            return Admission::Refused(too_late(&work));
        }
        if now < self.paused_until {
            let left = self.paused_until - now;
            let retry_after_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
            return Admission::Refused(Refusal::Overloaded { retry_after_ms });
        }
        if self.running < self.slots && self.waiting.is_empty() {
            if let Err(opens_at) = self.take_permit(now) {
                let left = opens_at.saturating_sub(now);
                let retry_after_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
                return Admission::Refused(Refusal::Overloaded { retry_after_ms });
            }
            let tag = self.tag(&work);
            self.begin(tag);
            return Admission::Start;
        }
        if now + self.wait(&work) >= work.deadline {
            return Admission::Refused(too_late(&work));
        }
        let tag = self.tag(&work);
        if (self.waiting.len() as u32) < self.limit {
            self.waiting.push(Waiting { work, tag });
            return Admission::Queued { displaced: None };
        }
        self.displace(work, tag)
    }

    /// The server asked to be sent nothing for a while. A later, shorter word does not shorten an earlier one.
    pub fn back_off(&mut self, now: Duration, asked: Duration) {
        self.paused_until = self.paused_until.max(now + asked.min(MAX_SERVER_BACKOFF));
    }

    /// The server names a rate limit, or none any more. The agent is the only one that sends it anything, so no
    /// other counts against it.
    pub fn set_rate_limit(&mut self, limit: Option<ServerLimit>) {
        self.rate_limit = limit;
    }

    /// Takes the permit of one start, or tells when there may be one.
    fn take_permit(&mut self, now: Duration) -> Result<(), Duration> {
        /// There is one server, so its name tells nothing.
        const OWN_SERVER: &str = "";
        self.rate_limit
            .map_or(Ok(()), |limit| self.permits.take(OWN_SERVER, limit, Granter::First, now))
    }

    /// A running request ended; the next one may start.
    pub fn finish(&mut self, now: Duration) -> Dispatch<T> {
        self.running = self.running.saturating_sub(1);
        self.dispatch_next(now)
    }

    /// Starts the next waiting request if a slot is free, and sheds what is late.
    pub fn dispatch_next(&mut self, now: Duration) -> Dispatch<T> {
        let mut admitted = Dispatch { start: None, shed: self.shed_late(now) };
        if self.running >= self.slots || now < self.paused_until {
            return admitted;
        }
        let first = (0..self.waiting.len())
            .min_by(|a, b| self.waiting[*a].tag.total_cmp(&self.waiting[*b].tag));
        if let Some(first) = first.filter(|_| self.take_permit(now).is_ok()) {
            let Waiting { work, tag } = self.waiting.remove(first);
            self.begin(tag);
            admitted.start = Some(work.ticket);
        }
        admitted
    }

    /// Takes a waiting request out; true if it was there, so that it has not run.
    pub fn cancel(&mut self, ticket: &T) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|waiting| waiting.work.ticket != *ticket);
        self.waiting.len() < before
    }

    /// Takes out all waiting requests for which `leaves` holds; none of them has run.
    pub fn cancel_where(&mut self, leaves: impl Fn(&T) -> bool) -> Vec<T> {
        let (out, stay) =
            std::mem::take(&mut self.waiting).into_iter().partition(|w| leaves(&w.work.ticket));
        self.waiting = stay;
        let out: Vec<Waiting<T>> = out;
        out.into_iter().map(|waiting| waiting.work.ticket).collect()
    }

    /// Changes the number of slots and the queue's length, as when a server changes its role.
    pub fn set_limits(&mut self, slots: u32, limit: u32) {
        self.slots = slots;
        self.limit = limit;
    }

    /// Takes the next place on the workspace's virtual clock.
    fn tag(&mut self, work: &QueuedWork<T>) -> f64 {
        self.forget_idle();
        let weight = work.share_weight * f64::from(1_u32 << work.priority.min(9));
        let length = work.expected_service.as_secs_f64().max(1e-3) / weight;
        let clock = self.clocks.entry(work.workspace.clone()).or_insert(self.clock);
        let tag = clock.max(self.clock);
        *clock = tag + length;
        tag
    }

    fn begin(&mut self, tag: f64) {
        self.running += 1;
        self.clock = self.clock.max(tag);
    }

    /// Drops the clocks of workspaces that have caught up, once there are many.
    fn forget_idle(&mut self) {
        const MANY: usize = 256;
        if self.clocks.len() > MANY {
            let now = self.clock;
            self.clocks.retain(|_, clock| *clock > now);
        }
    }

    /// Least time until a slot can be free for one more request, given what waits.
    fn wait(&self, work: &QueuedWork<T>) -> Duration {
        let ahead: Duration = self.waiting.iter().map(|w| w.work.expected_service).sum();
        // NB: an estimate on the low side, as the queue may let this request pass others.
        ahead.min(work.expected_service * self.waiting.len() as u32) / self.slots.max(1) / 2
    }

    fn displace(&mut self, work: QueuedWork<T>, tag: f64) -> Admission<T> {
        let retry_after_ms = self.retry_after_ms(&work);
        let overloaded = Refusal::Overloaded { retry_after_ms };
        let last = (0..self.waiting.len())
            .max_by(|a, b| self.waiting[*a].tag.total_cmp(&self.waiting[*b].tag));
        match last {
            Some(last) if self.waiting[last].tag > tag => {
                let out = std::mem::replace(&mut self.waiting[last], Waiting { work, tag });
                Admission::Queued { displaced: Some((out.work.ticket, overloaded)) }
            }
            _ => Admission::Refused(overloaded),
        }
    }

    fn retry_after_ms(&self, work: &QueuedWork<T>) -> u64 {
        let queue = self.waiting.len() as u32 + 1;
        let wait = work.expected_service * queue / self.slots.max(1);
        wait.as_millis().clamp(50, 60_000) as u64
    }

    fn shed_late(&mut self, now: Duration) -> Vec<(T, Refusal)> {
        let (late, stay) =
            std::mem::take(&mut self.waiting).into_iter().partition(|w| now >= w.work.deadline);
        self.waiting = stay;
        let late: Vec<Waiting<T>> = late;
        late.into_iter().map(|w| (w.work.ticket.clone(), too_late(&w.work))).collect()
    }
}

fn too_late<T>(work: &QueuedWork<T>) -> Refusal {
    Refusal::TooLate { deadline_ms: work.stated_deadline.as_millis() as u64 }
}
