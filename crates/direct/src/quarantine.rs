//! Requests that crash servers: detection, exchange with other entries, and quarantine.
//!
//! A crash counts at this entry immediately. It is published to the others after [`crashes`] has
//! collected further crashes of the same moment: a request isn't the cause if servers that it
//! didn't run on crashed too. Successful runs are published as well.

mod clearance;
mod crashes;
mod events;
mod probe;
mod probe_lease;
mod stored;

use std::time::Duration;

use pondwalk_decide::direct::{
    ContentHash, ProbeDecision, ProbeRequest, Quarantine, QuarantineStatus, ServerCrash,
};

pub use clearance::{PendingClearances, publish_clearances};
pub use crashes::ObservedCrashes;
pub use events::QuarantineEvent;
pub use probe_lease::{ProbeLease, ReleasedProbes, release_probes};
pub use stored::{MAX_STORED_CRASHES, QUARANTINE_KEY, StoredQuarantine};

use crate::{
    content::content_text,
    core::Core,
    event_log::LogPriority,
    membership::Gossip,
    metrics::Counter,
    request::{Job, Refusal},
};

/// Maximum number of crashes sent to an entry that has received none from this one.
const MAX_SUMMARY_CRASHES: usize = 1_024;
/// Time after the start during which no probe is granted if others could have granted one: by then
/// the probes granted before the restart have finished, or are known to have crashed a server.
const STARTUP_GRACE: Duration = Duration::from_secs(5);
/// Time by which a probe may outlast its deadline.
const LEASE_MARGIN: Duration = Duration::from_secs(1);

/// A crash with the time since it was observed.
pub type AgedCrash = (ServerCrash, Duration);

impl Core {
    /// Whether a request may run.
    pub fn quarantine_status(&self, job: &Job) -> QuarantineStatus {
        let state = self.state.borrow();
        if state.quarantine.is_empty() || state.successful_contents.is_exempt(job.content()) {
            return QuarantineStatus::Unrestricted;
        }
        state.quarantine.status(job.content(), self.clock.now())
    }

    /// Number of server crashes that count against a request.
    pub fn crash_count(&self, job: &Job) -> usize {
        let state = self.state.borrow();
        if state.quarantine.is_empty() { 0 } else { state.quarantine.crash_count(job.content()) }
    }

    /// Applies crashes observed by another entry.
    pub fn receive_crashes(&self, crashes: &[AgedCrash], age: Duration) {
        let now = self.clock.now();
        for (crash, extra_age) in crashes {
            let at = now.saturating_sub(age + *extra_age);
            let mut state = self.state.borrow_mut();
            let is_new = state.quarantine.record_crash(*crash, at, now);
            if is_new {
                state.successful_contents.record_crash(crash.content);
            }
            drop(state);
            if is_new {
                self.log_if_quarantined(crash.content);
                self.queue_clearance(crash.content);
            }
        }
    }

    /// Applies a successful run at another entry.
    pub fn receive_clearance(&self, content: ContentHash, from: &str, age: Duration) {
        let at = self.clock.now().saturating_sub(age);
        let crashes = self.state.borrow_mut().quarantine.record_success(content, at);
        self.log_cleared(content, crashes, from);
    }

    /// The crashes sent to an entry that has received none from this one.
    pub fn crash_summary(&self) -> Option<Gossip> {
        let ends = self
            .state
            .borrow()
            .quarantine
            .most_relevant_crashes(MAX_SUMMARY_CRASHES, self.clock.now());
        (!ends.is_empty()).then_some(Gossip::Ended { ends })
    }

    /// The crashes of quarantined contents, with the time since each.
    pub fn quarantined_crashes(&self) -> Vec<AgedCrash> {
        let state = self.state.borrow();
        if state.quarantine.is_empty() {
            Vec::new()
        } else {
            state.quarantine.quarantined_crashes(self.clock.now())
        }
    }

    /// Decides on a probe requested by this entry or another one.
    pub fn grant_probe(&self, content: ContentHash, lease: Duration) -> ProbeDecision {
        let now = self.clock.now();
        let order = self.members.granting_order(content);
        let place = order.iter().position(|(name, _)| *name == self.settings.name);
        let grace_left = STARTUP_GRACE.saturating_sub(self.clock.uptime());
        if order.len() > 1 && !grace_left.is_zero() {
            return ProbeDecision::Refused { until: now + grace_left };
        }
        let probe =
            ProbeRequest { content, lease: lease + LEASE_MARGIN, is_primary: place == Some(0) };
        self.state.borrow_mut().quarantine.request_probe(probe, now)
    }

    /// Forgets contents without recent crashes or runs.
    pub fn forget_old_crashes(&self) {
        let now = self.clock.now();
        self.state.borrow_mut().quarantine.remove_expired(now);
    }

    /// Logs that a content has been quarantined.
    fn log_if_quarantined(&self, content: ContentHash) {
        let now = self.clock.now();
        let state = self.state.borrow();
        if state.successful_contents.is_exempt(content) {
            return;
        }
        let QuarantineStatus::Quarantined { until } = state.quarantine.status(content, now) else {
            return;
        };
        let crashes = state.quarantine.crash_count(content);
        drop(state);
        self.metrics.count(Counter::ContentsQuarantined);
        let event = QuarantineEvent::ContentHeld {
            content: &content_text(content),
            servers_ended: crashes,
            for_ms: until.saturating_sub(now).as_millis() as u64,
        };
        self.event_log.record(LogPriority::Failure, &event);
    }

    /// Logs that a content is cleared, if `crashes` had quarantined it.
    fn log_cleared(&self, content: ContentHash, crashes: usize, from: &str) {
        if !Quarantine::quarantines_after(crashes) {
            return;
        }
        let event = QuarantineEvent::ContentCleared { content: &content_text(content), from };
        self.event_log.record(LogPriority::Failure, &event);
    }

    /// The refusal of a request that may not run before `until`.
    pub fn crash_refusal(&self, until: Duration) -> Refusal {
        let available_in = until.saturating_sub(self.clock.now());
        Refusal::CrashesServers { available_in }
    }
}
