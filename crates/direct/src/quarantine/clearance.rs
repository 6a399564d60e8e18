//! Clears contents that succeeded at this entry but are quarantined at others.

use std::{cell::RefCell, rc::Rc, time::Duration};

use pondwalk_decide::direct::{ContentHash, QuarantineStatus};
use tokio::{sync::Notify, time::sleep};

use crate::{core::Core, membership::Gossip, request::Job};

/// Number of crashes from which a clearance is published. A single crash quarantines nothing, and
/// where many servers crash it would double the messages, about two hundred on a day with many
/// crashes.
const MIN_CRASHES_TO_PUBLISH: usize = 2;
/// Number of slots over which entries spread the clearances of a content that succeeded at several
/// of them.
const STAGGER_SLOTS: usize = 10;
/// Time between two slots.
const STAGGER_SLOT: Duration = Duration::from_millis(30);

/// Contents that others quarantine although they succeeded here; clearances to be published.
#[derive(Debug, Default)]
pub struct PendingClearances {
    contents: RefCell<Vec<ContentHash>>,
    changed: Notify,
}

/// Publishes pending clearances for as long as the process runs.
pub async fn publish_clearances(core: Rc<Core>) {
    // Many entries may have the same clearance; the first one to publish reaches the others while
    // they wait.
    loop {
        core.pending_clearances.changed.notified().await;
        sleep(STAGGER_SLOT * core.members.hash_slot(STAGGER_SLOTS) as u32).await;
        for content in core.pending_clearances.contents.take() {
            if core.can_clear(content) {
                core.clear(content);
            }
        }
    }
}

impl Core {
    /// Records a successful run, which clears its content.
    pub fn record_success(&self, job: &Job) {
        let now = self.clock.now();
        let content = job.content();
        let mut state = self.state.borrow_mut();
        state.successful_contents.record_success(content, now);
        drop(state);
        self.clear(content);
    }

    /// Queues the clearance of a content that others quarantine although it succeeded here.
    pub(super) fn queue_clearance(&self, content: ContentHash) {
        if self.can_clear(content) {
            self.pending_clearances.contents.borrow_mut().push(content);
            self.pending_clearances.changed.notify_one();
        }
    }

    fn can_clear(&self, content: ContentHash) -> bool {
        let state = self.state.borrow();
        let is_quarantined =
            state.quarantine.status(content, self.clock.now()) != QuarantineStatus::Unrestricted;
        is_quarantined && state.successful_contents.is_exempt(content)
    }

    fn clear(&self, content: ContentHash) {
        let crashes = self.state.borrow_mut().quarantine.record_success(content, self.clock.now());
        if crashes >= MIN_CRASHES_TO_PUBLISH {
            self.log_cleared(content, crashes, &self.settings.name);
            self.publish_gossip(Gossip::Cleared { content });
        }
    }
}
