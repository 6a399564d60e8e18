//! Leases of probes, released if unused.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use pondwalk_decide::direct::FeatureHash;
use tokio::sync::Notify;

use super::probe::ProbeQuery;
use crate::core::Core;

/// Probes that are to be released to their granters.
#[derive(Debug, Default)]
pub struct ReleasedProbes {
    probes: RefCell<Vec<(FeatureHash, Option<SocketAddr>)>>,
    changed: Notify,
}

/// Permission to run a request once, released on drop unless a server was reached.
///
/// Otherwise a harmless request that is retried while no server can be reached would use up all its
/// probes.
pub struct ProbeLease {
    core: Rc<Core>,
    /// Quarantined features of the request. The first one's granter gave the permission.
    probed: Vec<FeatureHash>,
    /// Entry that granted the probe; `None` if this one did.
    granted_by: Option<SocketAddr>,
    has_reached: Cell<bool>,
}

impl ProbeLease {
    /// A lease granted by the entry at `granted_by`, or by this entry.
    pub fn new(core: &Rc<Core>, probed: Vec<FeatureHash>, granted_by: Option<SocketAddr>) -> Self {
        ProbeLease { core: Rc::clone(core), probed, granted_by, has_reached: Cell::new(false) }
    }

    /// The features that the request runs as a probe of.
    pub fn probed(&self) -> &[FeatureHash] {
        &self.probed
    }

    /// Sets whether the request was sent to a server that has not reported it as not run.
    pub fn set_reached(&self, has_reached: bool) {
        self.has_reached.set(has_reached);
    }
}

impl Drop for ProbeLease {
    fn drop(&mut self) {
        if let Some(feature) = self.probed.first().filter(|_| !self.has_reached.get()) {
            let released_probes = &self.core.released_probes;
            let Ok(mut probes) = released_probes.probes.try_borrow_mut() else { return };
            probes.push((*feature, self.granted_by));
            released_probes.changed.notify_one();
        }
    }
}

/// Releases unused probes to their granters for as long as the process runs.
pub async fn release_probes(core: Rc<Core>) {
    loop {
        core.released_probes.changed.notified().await;
        for (feature, granted_by) in core.released_probes.probes.take() {
            match granted_by {
                None => core.state.borrow_mut().quarantine.release_probe(feature),
                // A granter that can't be reached counts the probe as used.
                Some(address) => {
                    core.send_probe_release(address, ProbeQuery::GiveBack(feature)).await
                }
            }
        }
    }
}
