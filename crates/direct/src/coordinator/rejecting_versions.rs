//! Detects versions of which every server rejects all requests.
//!
//! A backoff requested by a server doesn't count as evidence against its version, nor does a
//! request that it didn't run. Without this check a version whose servers accept no requests would
//! be reported as complete, and the servers of the previous version would be stopped.

use std::{collections::BTreeSet, time::Duration};

use pondwalk_types::VersionId;

use super::{Coordinator, records::RollOutEvent};
use crate::{catalog::ServiceId, event_log::LogPriority};

/// Time after which such a version is logged, and reverted if it is on trial. Servers request
/// backoffs of a few seconds while they are full, and one that has just started is full for no
/// longer.
const MIN_REJECTION_TIME: Duration = Duration::from_secs(10);

/// Time between two checks. Each iterates over all servers, possibly thousands, while the
/// coordinator wakes on every state change.
const REJECTION_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Versions that reject all requests, by service.
pub type RejectingVersions = BTreeSet<(ServiceId, VersionId)>;

impl Coordinator {
    /// Logs versions that start or stop rejecting all requests, and aborts the trial of such a
    /// version.
    pub(super) fn check_rejecting_versions(&self) {
        let now = self.core.clock.now();
        if now < self.next_rejection_check.get() {
            return;
        }
        self.next_rejection_check.set(now + REJECTION_CHECK_INTERVAL);
        let found = self.find_rejecting_versions(now);
        let known = self.rejecting_versions.replace(found.clone());
        for (service, version) in found.difference(&known) {
            let event = RollOutEvent::TurnsAway { service, version };
            self.core.event_log.record(LogPriority::State, &event);
            self.abort_trial(service, version);
        }
        for (service, version) in known.difference(&found) {
            let event = RollOutEvent::TakesAgain { service, version };
            self.core.event_log.record(LogPriority::State, &event);
        }
    }

    fn find_rejecting_versions(&self, now: Duration) -> RejectingVersions {
        let state = self.core.state.borrow();
        let versions = state.fleets.iter().flat_map(|(service, fleet)| {
            let versions = fleet.versions_refusing_all(MIN_REJECTION_TIME, now).into_iter();
            versions.map(|version| (service.clone(), version))
        });
        versions.collect()
    }

    fn abort_trial(&self, service: &ServiceId, version: &str) {
        let mut state = self.core.state.borrow_mut();
        let roll_out =
            state.roll_outs.get_mut(service).filter(|roll_out| roll_out.target() == version);
        let is_aborted = roll_out.is_some_and(|roll_out| roll_out.trip_on_refusals());
        drop(state);
        if is_aborted {
            self.publish_bad_version(service);
        }
    }
}
