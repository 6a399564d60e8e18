//! Contents that came to a good end here, and the word that this entry puts in for them.

use std::{cell::RefCell, rc::Rc, time::Duration};

use pondwalk_decide::direct::{ContentHash, QuarantineStatus};
use tokio::{sync::Notify, time::sleep};

use crate::{core::Core, membership::Gossip, request::Job};

/// Ends of servers from which others are told that a content is cleared of them. A single one holds
/// nothing; where many servers end it would double the messages, some two hundred on a day with trouble.
const MIN_CRASHES_TO_PUBLISH: usize = 2;
/// Turns over which entries spread their word for a content that came to a good end there.
const JITTER_STEPS: usize = 10;
/// Time between two of them.
const JITTER_STEP: Duration = Duration::from_millis(30);

/// Contents that others hold and that came to a good end here.
#[derive(Debug, Default)]
pub struct PendingClearances {
    contents: RefCell<Vec<ContentHash>>,
    changed: Notify,
}

/// Clears contents that others hold and that came to a good end here, for as long as the process runs.
pub async fn publish_clearances(core: Rc<Core>) {
    // NB: many entries may know; the first one's word reaches the others while they wait.
    loop {
        core.pending_clearances.changed.notified().await;
        sleep(JITTER_STEP * core.members.hash_slot(JITTER_STEPS) as u32).await;
        for content in core.pending_clearances.contents.take() {
            if core.can_clear(content) {
                core.clear(content);
            }
        }
    }
}

impl Core {
    /// A run came to a good end, which speaks for what it carries.
    pub fn record_success(&self, job: &Job) {
        let now = self.clock.now();
        let content = job.content();
        let mut state = self.state.borrow_mut();
        state.good_contents.record_success(content, now);
        drop(state);
        self.clear(content);
    }

    /// Has a content cleared that others hold and that came to a good end here.
    pub(super) fn queue_clearance(&self, content: ContentHash) {
        if self.can_clear(content) {
            self.pending_clearances.contents.borrow_mut().push(content);
            self.pending_clearances.changed.notify_one();
        }
    }

    fn can_clear(&self, content: ContentHash) -> bool {
        let state = self.state.borrow();
        let is_held =
            state.quarantine.status(content, self.clock.now()) != QuarantineStatus::Unrestricted;
        is_held && state.good_contents.is_exempt(content)
    }

    fn clear(&self, content: ContentHash) {
        let crashes = self.state.borrow_mut().quarantine.record_success(content, self.clock.now());
        if crashes >= MIN_CRASHES_TO_PUBLISH {
            self.log_cleared(content, crashes, &self.settings.name);
            self.publish_gossip(Gossip::Cleared { content });
        }
    }
}
