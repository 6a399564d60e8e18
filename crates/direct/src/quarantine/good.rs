//! Contents that came to a good end here, and the word that this entry puts in for them.

use std::{cell::RefCell, rc::Rc, time::Duration};

use pondwalk_decide::direct::{Content, Standing};
use tokio::{sync::Notify, time::sleep};

use crate::{core::Core, membership::Gossip, request::Job};

/// Ends of servers from which others are told that a content is cleared of them. A single one holds
/// nothing; where many servers end it would double the messages, some two hundred on a day with trouble.
const TOLD_FROM: usize = 2;
/// Turns over which entries spread their word for a content that came to a good end there.
const SPEAKERS: usize = 10;
/// Time between two of them.
const SPEAK_INTERVAL: Duration = Duration::from_millis(30);

/// Contents that others hold and that came to a good end here.
#[derive(Debug, Default)]
pub struct PendingClearances {
    contents: RefCell<Vec<Content>>,
    filled: Notify,
}

/// Clears contents that others hold and that came to a good end here, for as long as the process runs.
pub async fn speak_for_good_contents(core: Rc<Core>) {
    // NB: many entries may know; the first one's word reaches the others while they wait.
    loop {
        core.pending_clearances.filled.notified().await;
        sleep(SPEAK_INTERVAL * core.members.hash_slot(SPEAKERS) as u32).await;
        for content in core.pending_clearances.contents.take() {
            if core.is_held_though_good(content) {
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
        state.good_contents.note_whole(content, now);
        drop(state);
        self.clear(content);
    }

    /// Has a content cleared that others hold and that came to a good end here.
    pub(super) fn speak_for(&self, content: Content) {
        if self.is_held_though_good(content) {
            self.pending_clearances.contents.borrow_mut().push(content);
            self.pending_clearances.filled.notify_one();
        }
    }

    fn is_held_though_good(&self, content: Content) -> bool {
        let state = self.state.borrow();
        let is_held = state.quarantine.standing(content, self.clock.now()) != Standing::Free;
        is_held && state.good_contents.holds(content)
    }

    fn clear(&self, content: Content) {
        let ends = self.state.borrow_mut().quarantine.note_whole(content, self.clock.now());
        if ends >= TOLD_FROM {
            self.note_cleared(content, ends, &self.settings.name);
            self.publish_gossip(Gossip::Cleared { content });
        }
    }
}
