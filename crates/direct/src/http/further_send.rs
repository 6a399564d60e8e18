//! One send beyond a request's first, from the time it is taken from the retry budget.

use std::{rc::Rc, time::Duration};

use crate::{catalog::ServiceId, core::Core, metrics::Counter};

/// A send that counts in the retry budget. It is put back when dropped, unless it was made.
pub struct FurtherSend {
    core: Rc<Core>,
    service: ServiceId,
    /// `None` once it was made.
    taken_at: Option<Duration>,
}

impl FurtherSend {
    /// Takes a send, provided that the fraction `spare` of the budget remains.
    pub fn take(core: &Rc<Core>, service: &ServiceId, spare: f64) -> Option<Self> {
        let now = core.clock.now();
        let is_taken = core.state.borrow_mut().budget(service).try_take(now, spare);
        let (core, service) = (Rc::clone(core), service.clone());
        is_taken.then(|| FurtherSend { core, service, taken_at: Some(now) })
    }

    /// Returns the send if it may be made now: it is taken anew if it was taken too long ago.
    pub fn renew(self) -> Option<Self> {
        let now = self.core.clock.now();
        let covers = |at| self.core.state.borrow_mut().budget(&self.service).covers(at, now);
        if self.taken_at.is_some_and(covers) {
            return Some(self);
        }
        let (core, service) = (Rc::clone(&self.core), self.service.clone());
        drop(self);
        FurtherSend::take(&core, &service, 0.0)
    }

    /// Records that the send was made.
    pub fn mark_made(mut self) {
        self.taken_at = None;
    }
}

impl Drop for FurtherSend {
    fn drop(&mut self) {
        if let Some(taken_at) = self.taken_at {
            let Ok(mut state) = self.core.state.try_borrow_mut() else { return };
            state.budget(&self.service).put_back(taken_at);
            self.core.metrics.count(Counter::FurtherSendsPutBack);
        }
    }
}
