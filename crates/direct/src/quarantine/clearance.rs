//! Clearances of features that others quarantine although they succeeded at this entry.

use std::{cell::RefCell, rc::Rc, time::Duration};

use pondwalk_decide::direct::FeatureHash;
use tokio::{sync::Notify, time::sleep};

use super::events::ClearanceReason;
use crate::{core::Core, membership::Gossip};

/// Number of crashes from which a clearance is published. A single crash quarantines nothing, and
/// where many servers crash it would double the messages, about two hundred on a day with many
/// crashes.
const MIN_CRASHES_TO_PUBLISH: usize = 2;
/// Number of slots over which entries spread the clearances of a feature that succeeded at several
/// of them.
const STAGGER_SLOTS: usize = 10;
/// Time between two slots.
const STAGGER_SLOT: Duration = Duration::from_millis(30);

/// Features that others quarantine although they succeeded here; clearances to be published.
#[derive(Debug, Default)]
pub struct PendingClearances {
    features: RefCell<Vec<FeatureHash>>,
    changed: Notify,
}

/// Publishes pending clearances for as long as the process runs.
pub async fn publish_clearances(core: Rc<Core>) {
    // Many entries may have the same clearance; the first one to publish reaches the others while
    // they wait.
    loop {
        core.pending_clearances.changed.notified().await;
        sleep(STAGGER_SLOT * core.members.hash_slot(STAGGER_SLOTS) as u32).await;
        for feature in core.pending_clearances.features.take() {
            if core.can_clear(feature) {
                let now = core.clock.now();
                let crashes = core.state.borrow_mut().quarantine.clear(feature, now);
                core.publish_clearance(feature, crashes, ClearanceReason::EarlierSuccess);
            }
        }
    }
}

impl Core {
    /// Queues the clearance of a feature that others quarantine although it succeeded here.
    pub(super) fn queue_clearance(&self, feature: FeatureHash) {
        if self.can_clear(feature) {
            self.pending_clearances.features.borrow_mut().push(feature);
            self.pending_clearances.changed.notify_one();
        }
    }

    fn can_clear(&self, feature: FeatureHash) -> bool {
        self.state.borrow().quarantine.can_clear(feature)
    }

    /// Logs and publishes that a feature was cleared of so many crashes.
    pub(super) fn publish_clearance(
        &self,
        feature: FeatureHash,
        crashes: usize,
        reason: ClearanceReason<'_>,
    ) {
        if crashes >= MIN_CRASHES_TO_PUBLISH {
            self.log_cleared(feature, crashes, &self.settings.name, reason);
            self.publish_gossip(Gossip::Cleared { feature });
        }
    }
}
