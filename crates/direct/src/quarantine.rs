//! Requests that crash servers: detection, exchange with other entries, and quarantine.
//!
//! A crash counts at this entry immediately. It is published to the others after [`crashes`] has
//! collected further crashes of the same moment: a request isn't the cause if servers that it
//! didn't run on crashed too. Successful runs are published as well.

mod clearance;
mod crashes;
mod ended_runs;
mod events;
mod probe;
mod probe_lease;
mod stored;

use std::{collections::BTreeMap, time::Duration};

use pondwalk_decide::direct::{
    CrashId, FeatureHash, InFlight, ProbeDecision, ProbeRequest, Quarantine, QuarantineCheck,
    QuarantineStatus, ServerCrash, is_after_run, is_part, is_part_of, part_id,
};

pub use clearance::{PendingClearances, publish_clearances};
pub use crashes::{ObservedCrashes, publish_crashes};
pub use ended_runs::examine_ended_runs;
use events::ClearanceReason;
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
        self.check_quarantine(job).status
    }

    /// Whether a request may run, and which of its features are quarantined.
    pub fn check_quarantine(&self, job: &Job) -> QuarantineCheck {
        let state = self.state.borrow();
        if state.quarantine.is_empty() {
            let status = QuarantineStatus::Unrestricted;
            return QuarantineCheck { status, suspects: Vec::new() };
        }
        state.quarantine.check(job.features(), self.clock.now())
    }

    /// Highest number of server crashes that count against a feature of a request.
    pub fn crash_count(&self, job: &Job) -> usize {
        let state = self.state.borrow();
        if state.quarantine.is_empty() {
            0
        } else {
            state.quarantine.max_crash_count(job.features())
        }
    }

    /// Applies crashes observed by another entry.
    pub fn receive_crashes(&self, crashes: &[AgedCrash], age: Duration) {
        let now = self.clock.now();
        let mut by_request: BTreeMap<CrashId, (Duration, Vec<ServerCrash>)> = BTreeMap::new();
        for (crash, extra_age) in crashes {
            let (_, features) = by_request.entry(crash.id).or_insert((*extra_age, Vec::new()));
            features.push(*crash);
        }
        for (extra_age, features) in by_request.into_values() {
            let at = now.saturating_sub(age + extra_age);
            let counted =
                self.state.borrow_mut().quarantine.record_reported_crash(&features, at, now);
            if let Some(crash) = features.first() {
                let named: Vec<FeatureHash> = features.iter().map(|crash| crash.feature).collect();
                let in_flight = match is_after_run(crash.id) {
                    true => InFlight::NOTHING,
                    false => InFlight { features: &named, elapsed: None },
                };
                self.record_crash_after_runs(crash.server, in_flight, at);
            }
            for feature in counted {
                self.log_if_quarantined(feature);
                self.queue_clearance(feature);
            }
        }
    }

    /// Applies a successful run at another entry.
    pub fn receive_clearance(&self, feature: FeatureHash, from: &str, age: Duration) {
        let now = self.clock.now();
        let at = now.saturating_sub(age);
        let mut state = self.state.borrow_mut();
        let crashes = state.quarantine.record_reported_success(feature, at, now);
        drop(state);
        self.log_cleared(feature, crashes, from, ClearanceReason::Report);
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

    /// The crashes of quarantined features, with the time since each.
    pub fn quarantined_crashes(&self) -> Vec<AgedCrash> {
        let state = self.state.borrow();
        if state.quarantine.is_empty() {
            Vec::new()
        } else {
            state.quarantine.quarantined_crashes(self.clock.now())
        }
    }

    /// Decides on a probe requested by this entry or another one; `is_joint` if other features of
    /// the request are quarantined too.
    pub fn grant_probe(
        &self,
        feature: FeatureHash,
        is_joint: bool,
        lease: Duration,
    ) -> ProbeDecision {
        let now = self.clock.now();
        let order = self.members.granting_order(feature);
        let place = order.iter().position(|(name, _)| *name == self.settings.name);
        let grace_left = STARTUP_GRACE.saturating_sub(self.clock.uptime());
        if order.len() > 1 && !grace_left.is_zero() {
            return ProbeDecision::Refused { until: now + grace_left };
        }
        let (lease, is_primary) = (lease + LEASE_MARGIN, place == Some(0));
        let probe = ProbeRequest { feature, lease, is_joint, is_primary };
        self.state.borrow_mut().quarantine.request_probe(probe, now)
    }

    /// Forgets features without recent crashes or runs.
    pub fn forget_old_crashes(&self) {
        let now = self.clock.now();
        self.state.borrow_mut().quarantine.remove_expired(now);
    }

    /// Logs that a feature has been quarantined.
    fn log_if_quarantined(&self, feature: FeatureHash) {
        let now = self.clock.now();
        let state = self.state.borrow();
        if state.quarantine.is_exempt(feature) {
            return;
        }
        let QuarantineStatus::Quarantined { until } = state.quarantine.status(feature, now) else {
            return;
        };
        let servers_ended = state.quarantine.crash_count(feature);
        let excused = state.quarantine.excused_crash_count(feature);
        drop(state);
        let for_ms = until.saturating_sub(now).as_millis() as u64;
        if is_part(feature) {
            self.metrics.count(Counter::PartsQuarantined);
            let (service, part) = self.part_names(feature);
            let (service, part) = (service.as_str(), part.as_str());
            let event = QuarantineEvent::PartHeld { service, part, servers_ended, excused, for_ms };
            self.event_log.record(LogPriority::Failure, &event);
        } else {
            self.metrics.count(Counter::ContentsQuarantined);
            let content = &content_text(feature);
            let event = QuarantineEvent::ContentHeld { content, servers_ended, excused, for_ms };
            self.event_log.record(LogPriority::Failure, &event);
        }
    }

    /// Logs that a feature is cleared, if `crashes` had quarantined it.
    fn log_cleared(
        &self,
        feature: FeatureHash,
        crashes: usize,
        from: &str,
        reason: ClearanceReason<'_>,
    ) {
        if !Quarantine::quarantines_after(crashes) {
            return;
        }
        if is_part(feature) {
            let (service, part) = self.part_names(feature);
            let (service, part) = (service.as_str(), part.as_str());
            let event = QuarantineEvent::PartCleared { service, part, from, reason };
            self.event_log.record(LogPriority::Failure, &event);
        } else {
            let content = &content_text(feature);
            let event = QuarantineEvent::ContentCleared { content, from, reason };
            self.event_log.record(LogPriority::Failure, &event);
        }
    }

    /// Service of a prompt part, empty if it has no servers here, and the part's id as callers send
    /// it.
    fn part_names(&self, feature: FeatureHash) -> (String, String) {
        let state = self.state.borrow();
        let service = state.fleets.keys().find(|service| is_part_of(feature, service));
        let service = service.map(|service| service.to_string());
        (service.unwrap_or_default(), format!("{:x}", part_id(feature)))
    }

    /// The refusal of a request that may not run before `until`.
    pub fn crash_refusal(&self, until: Duration) -> Refusal {
        let available_in = until.saturating_sub(self.clock.now());
        Refusal::CrashesServers { available_in }
    }
}
