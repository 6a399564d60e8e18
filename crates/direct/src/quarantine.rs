//! Requests that end servers: what this entry sees of them, tells the others, and lets run.
//!
//! An end counts here at once. It is told to all others after a moment, in which other servers may end
//! too: what ends several servers that it did not run on is not the request. A good end is told as well.

mod ask;
mod good;
mod lease;
mod report;
mod seen;
mod stored;

use std::time::Duration;

use pondwalk_decide::direct::{Content, Grant, Probe, Quarantine, ServerEnd, Standing};

pub use good::{PendingClearances, speak_for_good_contents};
pub use lease::{ProbeLease, ReleasedProbes, give_back_probes};
pub use report::QuarantineEvent;
pub use seen::SeenCrashes;
pub use stored::{MOST_STORED, QUARANTINE_KEY, StoredQuarantine};

use crate::{
    content::content_text,
    core::Core,
    event_log::LogPriority,
    membership::Gossip,
    metrics::Counter,
    request::{Job, Refusal},
};

/// Ends that an entry tells another which has heard nothing from it before.
const MOST_IN_SUMMARY: usize = 1_024;
/// Time after the start in which no probe is granted where others could have granted one: those that
/// were under way when the process ended before are over then, or known to have ended a server.
const SETTLING: Duration = Duration::from_secs(5);
/// Time beyond its deadline for which a probe may be under way.
const LEASE_SLACK: Duration = Duration::from_secs(1);

/// One end with the time since it was seen.
pub type AgedEnd = (ServerEnd, Duration);

impl Core {
    /// Whether a request may run.
    pub fn quarantine_status(&self, job: &Job) -> Standing {
        let state = self.state.borrow();
        if state.quarantine.is_empty() || state.good_contents.holds(job.content()) {
            return Standing::Free;
        }
        state.quarantine.standing(job.content(), self.clock.now())
    }

    /// Ends of servers that count against a request.
    pub fn crash_count(&self, job: &Job) -> usize {
        let state = self.state.borrow();
        if state.quarantine.is_empty() { 0 } else { state.quarantine.ends(job.content()) }
    }

    /// Hears of ends that another entry saw.
    pub fn receive_crashes(&self, ends: &[AgedEnd], age: Duration) {
        let now = self.clock.now();
        for (end, more) in ends {
            let at = now.saturating_sub(age + *more);
            let mut state = self.state.borrow_mut();
            let is_new = state.quarantine.note_end(*end, at, now);
            if is_new {
                state.good_contents.note_end(end.content);
            }
            drop(state);
            if is_new {
                self.note_if_held(end.content);
                self.speak_for(end.content);
            }
        }
    }

    /// Hears of a good end at another entry.
    pub fn receive_clearance(&self, content: Content, from: &str, age: Duration) {
        let at = self.clock.now().saturating_sub(age);
        let ends = self.state.borrow_mut().quarantine.note_whole(content, at);
        self.note_cleared(content, ends, from);
    }

    /// What an entry that has heard nothing from this one is to know.
    pub fn crash_summary(&self) -> Option<Gossip> {
        let ends = self.state.borrow().quarantine.weightiest(MOST_IN_SUMMARY, self.clock.now());
        (!ends.is_empty()).then_some(Gossip::Ended { ends })
    }

    /// The ends of contents that may not run freely, with the time since each.
    pub fn held_ends(&self) -> Vec<AgedEnd> {
        let state = self.state.borrow();
        if state.quarantine.is_empty() {
            Vec::new()
        } else {
            state.quarantine.held(self.clock.now())
        }
    }

    /// Grants a probe that this entry or another asks for.
    pub fn grant_probe(&self, content: Content, lease: Duration) -> Grant {
        let now = self.clock.now();
        let order = self.members.granting_order(content);
        let place = order.iter().position(|(name, _)| *name == self.settings.name);
        let settled_at = SETTLING.saturating_sub(self.clock.uptime());
        if order.len() > 1 && !settled_at.is_zero() {
            return Grant::Refused { until: now + settled_at };
        }
        let probe = Probe { content, lease: lease + LEASE_SLACK, is_first: place == Some(0) };
        self.state.borrow_mut().quarantine.grant(probe, now)
    }

    /// Forgets contents that nothing has been seen of for long.
    pub fn forget_old_ends(&self) {
        let now = self.clock.now();
        self.state.borrow_mut().quarantine.forget_old(now);
    }

    /// Logs that a content is held from now on.
    fn note_if_held(&self, content: Content) {
        let now = self.clock.now();
        let state = self.state.borrow();
        if state.good_contents.holds(content) {
            return;
        }
        let Standing::Held { until } = state.quarantine.standing(content, now) else { return };
        let ends = state.quarantine.ends(content);
        drop(state);
        self.metrics.count(Counter::ContentsQuarantined);
        let event = QuarantineEvent::ContentHeld {
            content: &content_text(content),
            servers_ended: ends,
            for_ms: until.saturating_sub(now).as_millis() as u64,
        };
        self.event_log.record(LogPriority::Failure, &event);
    }

    /// Logs that a content is cleared of so many ends, if it was held by them.
    fn note_cleared(&self, content: Content, ends: usize, from: &str) {
        if !Quarantine::holds_from(ends) {
            return;
        }
        let event = QuarantineEvent::ContentCleared { content: &content_text(content), from };
        self.event_log.record(LogPriority::Failure, &event);
    }

    /// Why a request that may not run before `until` is refused.
    pub fn crash_refusal(&self, until: Duration) -> Refusal {
        let available_in = until.saturating_sub(self.clock.now());
        Refusal::CrashesServers { available_in }
    }
}
