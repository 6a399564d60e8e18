//! Leave to run once, which is given back if it was of no use.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use pondwalk_decide::direct::ContentHash;
use tokio::sync::Notify;

use super::probe::ProbeRequest;
use crate::core::Core;

/// Leave that was given and is to be given back.
#[derive(Debug, Default)]
pub struct ReleasedProbes {
    probes: RefCell<Vec<(ContentHash, Option<SocketAddr>)>>,
    changed: Notify,
}

/// Leave to run a content once. It is given back when dropped, unless a server was reached.
///
/// NB: while no server can be reached, an innocent request that comes again and again would otherwise use
/// up all its probes.
pub struct ProbeLease {
    core: Rc<Core>,
    content: ContentHash,
    /// Entry that granted it, if that was another.
    granted_by: Option<SocketAddr>,
    has_reached: Cell<bool>,
}

impl ProbeLease {
    /// Leave to run a content, granted by the entry at this address, or by this one.
    pub fn new(core: &Rc<Core>, content: ContentHash, granted_by: Option<SocketAddr>) -> Self {
        ProbeLease { core: Rc::clone(core), content, granted_by, has_reached: Cell::new(false) }
    }

    /// Whether the request has left for a server that has not said that it did not run it.
    pub fn set_reached(&self, has_reached: bool) {
        self.has_reached.set(has_reached);
    }
}

impl Drop for ProbeLease {
    fn drop(&mut self) {
        if !self.has_reached.get() {
            let released_probes = &self.core.released_probes;
            released_probes.probes.borrow_mut().push((self.content, self.granted_by));
            released_probes.changed.notify_one();
        }
    }
}

/// Gives leave back to the entries that granted it, for as long as the process runs.
pub async fn release_probes(core: Rc<Core>) {
    loop {
        core.released_probes.changed.notified().await;
        for (content, granted_by) in core.released_probes.probes.take() {
            match granted_by {
                None => core.state.borrow_mut().quarantine.release_probe(content),
                // NB: one that cannot be told takes the probe for used up.
                Some(address) => {
                    core.send_probe_release(address, ProbeRequest::GiveBack(content)).await
                }
            }
        }
    }
}
