//! What is known against one content, and what that leads to.

use std::time::Duration;

use super::{CrashId, QuarantineStatus, ServerCrash};

/// Ends of servers after which a request counts as their cause. A request whose server ends by chance
/// goes on elsewhere; that this happens to the same one three times is rare.
pub const FREE_ENDS: usize = 3;
/// Pauses after the latest end before the request may run once more: a chance for one that is innocent
/// as soon as servers are back, two more when others that end servers are held, and then so seldom that
/// one that ends every server costs one in ten minutes.
pub const PROBE_PAUSES: [Duration; 4] = [
    Duration::from_secs(1),
    Duration::from_secs(5),
    Duration::from_secs(30),
    Duration::from_secs(600),
];
/// Time between two sightings of an end of one server by which they are of the same: entries date what
/// others tell to some tenths of a second, and a server takes seconds to start again.
const SAME_END: Duration = Duration::from_secs(1);
/// Most ends of a content that are excused as those of a common loss. More than that of one content in
/// an hour is no chance, and requests that end servers at the same moment must not excuse one another.
const MOST_EXCUSED: usize = 3;
/// Ends of one content that are kept; more change nothing.
const MOST_ENDS: usize = 8;
/// Time after the latest end for which a content is remembered. A caller may keep a request for long
/// before it tries again; in an hour one that is forgotten and tried anew costs three servers.
const LIFE: Duration = Duration::from_secs(3_600);
/// Time for which a content that was cleared is remembered, so that word of its ends that comes late
/// counts for nothing.
const LIFE_OF_CLEARED: Duration = Duration::from_secs(60);

/// An end as it is remembered.
#[derive(Debug, Clone, Copy)]
pub struct Crash {
    /// Tells it from all others.
    pub id: CrashId,
    /// Hash of the server's identity.
    pub server: u64,
    /// When it was seen.
    pub at: Duration,
    /// Whether others ended at the same moment that did not run the request.
    pub in_common_loss: bool,
    /// Whether the request ran as a probe.
    pub on_probe: bool,
}

impl Crash {
    /// Whether another sighting is of the same end: each copy of a request, at each entry, sees it.
    pub fn is_same(&self, other: &ServerCrash, at: Duration) -> bool {
        let apart = self.at.max(at) - self.at.min(at);
        self.id == other.id || self.server == other.server && apart < SAME_END
    }
}

/// All that is known against one content.
#[derive(Debug, Default)]
pub struct Record {
    /// Ends since it was last cleared.
    pub crashes: Vec<Crash>,
    /// When a run last came to a good end.
    pub cleared_at: Option<Duration>,
    /// Until when a probe that this entry granted may be under way.
    pub probed_until: Option<Duration>,
    /// Probes that this entry granted and of which it has heard nothing.
    ///
    /// NB: a caller that leaves early each time would otherwise be granted one after the other.
    pub unresolved: usize,
    /// When the latest of them was granted.
    pub unresolved_at: Option<Duration>,
}

impl Record {
    /// Ends that count.
    pub fn crash_count(&self) -> usize {
        let excused = self.crashes.iter().filter(|end| end.in_common_loss).count();
        self.crashes.len() - excused.min(MOST_EXCUSED)
    }

    /// Something was heard that tells how the probe under way came out.
    pub fn resolve_probe(&mut self) {
        if self.probed_until.take().is_some() {
            self.unresolved = self.unresolved.saturating_sub(1);
        }
        if self.unresolved == 0 {
            self.unresolved_at = None;
        }
    }

    /// Keeps an end; of many, the latest and those under probes.
    pub fn push_crash(&mut self, end: Crash) {
        self.crashes.push(end);
        if self.crashes.len() <= MOST_ENDS {
            return;
        }
        let order = |(_, end): &(usize, &Crash)| (end.on_probe, end.at);
        if let Some((oldest, _)) = self.crashes.iter().enumerate().min_by_key(order) {
            self.crashes.swap_remove(oldest);
        }
    }

    /// When the latest end was seen.
    pub fn last_crash_at(&self) -> Option<Duration> {
        self.crashes.iter().map(|end| end.at).max()
    }

    /// Whether a request of the content may run.
    pub fn status(&self, now: Duration) -> QuarantineStatus {
        let count = self.crash_count();
        let Some(last) = self.last_crash_at().filter(|_| count >= FREE_ENDS) else {
            return QuarantineStatus::Unrestricted;
        };
        if self.probed_until.is_some_and(|until| now < until) {
            return QuarantineStatus::ProbeInProgress;
        }
        let last = self.unresolved_at.map_or(last, |at| at.max(last));
        let until = last + PROBE_PAUSES[self.probe_count().min(PROBE_PAUSES.len() - 1)];
        if now < until {
            QuarantineStatus::Quarantined { until }
        } else {
            QuarantineStatus::ProbeAllowed
        }
    }

    /// Probes under which a server ended or may have ended, common losses left out.
    ///
    /// NB: not all ends beyond the first few. A request that comes on many connections at once may end as
    /// many servers before any entry knows.
    pub fn probe_count(&self) -> usize {
        let excused = |end: &&Crash| end.on_probe && end.in_common_loss;
        let excused = self.crashes.iter().filter(excused).count().min(MOST_EXCUSED);
        self.crashes.iter().filter(|end| end.on_probe).count() - excused + self.unresolved
    }

    /// Whether nothing of it matters any more.
    pub fn is_expired(&self, now: Duration) -> bool {
        let is_past = |at: Option<Duration>, life| at.is_none_or(|at| now >= at + life);
        is_past(self.last_crash_at(), LIFE) && is_past(self.cleared_at, LIFE_OF_CLEARED)
    }

    /// Order in which contents give way.
    pub fn retention_rank(&self) -> (usize, Option<Duration>) {
        (self.crash_count().min(FREE_ENDS), self.last_crash_at())
    }
}
