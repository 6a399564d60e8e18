//! Versions all of whose servers turn everything away.
//!
//! A server that asks for a pause is no evidence against its version, nor is a request that it did not run.
//! A version none of whose servers takes anything would so be told complete, and those of the version
//! before it would stop.

use std::{collections::BTreeSet, time::Duration};

use pondwalk_types::VersionId;

use super::{Coordinator, records::RollOutEvent};
use crate::{catalog::ServiceId, event_log::LogPriority};

/// Time after which such a version is told as one, and left if it is on trial. Servers ask for pauses of a few
/// seconds while they are full; one that has just started is full for as long at most.
const MIN_REJECTION_TIME: Duration = Duration::from_secs(10);

/// Time between two looks. Each goes over all servers, of which there may be thousands, while the conductor is
/// woken by all that is learned.
const REJECTION_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Versions that turn everything away, by service.
pub type RejectingVersions = BTreeSet<(ServiceId, VersionId)>;

impl Coordinator {
    /// Tells of versions that begin or cease to turn everything away, and leaves one that is on trial.
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
        let of_fleets = state.fleets.iter().flat_map(|(service, fleet)| {
            let versions = fleet.versions_refusing_all(MIN_REJECTION_TIME, now).into_iter();
            versions.map(|version| (service.clone(), version))
        });
        of_fleets.collect()
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
