//! What is known against one content, and what that leads to.

use std::time::Duration;

use super::{EndId, ServerEnd, Standing};

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
pub struct End {
    /// Tells it from all others.
    pub id: EndId,
    /// Hash of the server's identity.
    pub server: u64,
    /// When it was seen.
    pub at: Duration,
    /// Whether others ended at the same moment that did not run the request.
    pub in_common_loss: bool,
    /// Whether the request ran as a probe.
    pub on_probe: bool,
}

impl End {
    /// Whether another sighting is of the same end: each copy of a request, at each entry, sees it.
    pub fn is_same(&self, other: &ServerEnd, at: Duration) -> bool {
        let apart = self.at.max(at) - self.at.min(at);
        self.id == other.id || self.server == other.server && apart < SAME_END
    }
}

/// All that is known against one content.
#[derive(Debug, Default)]
pub struct Record {
    /// Ends since it was last cleared.
    pub ends: Vec<End>,
    /// When a run last came to a good end.
    pub cleared: Option<Duration>,
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
    pub fn count(&self) -> usize {
        let excused = self.ends.iter().filter(|end| end.in_common_loss).count();
        self.ends.len() - excused.min(MOST_EXCUSED)
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
    pub fn keep(&mut self, end: End) {
        self.ends.push(end);
        if self.ends.len() <= MOST_ENDS {
            return;
        }
        let order = |(_, end): &(usize, &End)| (end.on_probe, end.at);
        if let Some((oldest, _)) = self.ends.iter().enumerate().min_by_key(order) {
            self.ends.swap_remove(oldest);
        }
    }

    /// When the latest end was seen.
    pub fn last_end(&self) -> Option<Duration> {
        self.ends.iter().map(|end| end.at).max()
    }

    /// Whether a request of the content may run.
    pub fn standing(&self, now: Duration) -> Standing {
        let count = self.count();
        let Some(last) = self.last_end().filter(|_| count >= FREE_ENDS) else {
            return Standing::Free;
        };
        if self.probed_until.is_some_and(|until| now < until) {
            return Standing::Probed;
        }
        let last = self.unresolved_at.map_or(last, |at| at.max(last));
        let until = last + PROBE_PAUSES[self.probes().min(PROBE_PAUSES.len() - 1)];
        if now < until { Standing::Held { until } } else { Standing::OnProbe }
    }

    /// Probes under which a server ended or may have ended, common losses left out.
    ///
    /// NB: not all ends beyond the first few. A request that comes on many connections at once may end as
    /// many servers before any entry knows.
    pub fn probes(&self) -> usize {
        let excused = |end: &&End| end.on_probe && end.in_common_loss;
        let excused = self.ends.iter().filter(excused).count().min(MOST_EXCUSED);
        self.ends.iter().filter(|end| end.on_probe).count() - excused + self.unresolved
    }

    /// Whether nothing of it matters any more.
    pub fn is_over(&self, now: Duration) -> bool {
        let is_past = |at: Option<Duration>, life| at.is_none_or(|at| now >= at + life);
        is_past(self.last_end(), LIFE) && is_past(self.cleared, LIFE_OF_CLEARED)
    }

    /// Order in which contents give way.
    pub fn worth(&self) -> (usize, Option<Duration>) {
        (self.count().min(FREE_ENDS), self.last_end())
    }
}
