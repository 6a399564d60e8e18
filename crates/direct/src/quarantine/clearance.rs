//! Successful runs, and clearances of features that others quarantine although they succeeded at
//! this entry.

use std::{cell::RefCell, rc::Rc, time::Duration};

use pondwalk_decide::direct::{FeatureHash, SettlingRun, server_hash};
use tokio::{sync::Notify, task::spawn_local, time::sleep};

use super::events::ClearanceReason;
use crate::{
    core::Core,
    membership::Gossip,
    placement::Placement,
    request::Job,
    upstream::{ListenerState, check_listener},
};

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
    /// Records a successful run, which clears the content of its request, and the parts of its
    /// prompt if the server has made the whole answer.
    pub fn record_success(self: &Rc<Self>, job: &Job, placement: &Placement, is_whole_run: bool) {
        let parts = job.part_features();
        let mut state = self.state.borrow_mut();
        if is_whole_run && !state.quarantine.knows_success_of(parts) {
            let (parts, server) = (parts.to_vec(), server_hash(placement.server()));
            let run = SettlingRun {
                request: job.id.clone(),
                parts,
                server,
                server_id: placement.server().clone(),
                address: placement.address,
            };
            state.quarantine.record_settling_run(run, self.clock.now());
        }
        drop(state);
        let (request, server) = (job.id.as_str(), placement.server().as_str());
        let reason = match is_whole_run {
            true => ClearanceReason::WholeRun { request, server },
            false => ClearanceReason::ResumedRun { request, server },
        };
        self.clear(job.content(), reason);
        self.apply_settled_runs();
    }

    /// Records the successful runs whose servers have kept running.
    pub fn apply_settled_runs(self: &Rc<Self>) {
        let now = self.clock.now();
        loop {
            let mut state = self.state.borrow_mut();
            let Some(run) = state.quarantine.pop_settled(now) else { return };
            let is_suspected = state.quarantine.max_crash_count(&run.parts) > 0;
            drop(state);
            if is_suspected {
                let core = Rc::clone(self);
                spawn_local(async move { core.verify_run(run).await });
            } else {
                self.clear_parts(&run);
            }
        }
    }

    /// Records a successful run with parts under which servers have crashed, provided that its own
    /// server is still running. Its crash may have gone unnoticed if nothing else ran there.
    async fn verify_run(&self, run: SettlingRun) {
        if check_listener(&self.connect, run.address).await == ListenerState::Accepts {
            self.clear_parts(&run);
        }
    }

    fn clear_parts(&self, run: &SettlingRun) {
        let reason = ClearanceReason::WholeRun { request: &run.request, server: &run.server_id };
        run.parts.iter().for_each(|part| self.clear(*part, reason));
    }

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

    fn clear(&self, feature: FeatureHash, reason: ClearanceReason<'_>) {
        let now = self.clock.now();
        let crashes = self.state.borrow_mut().quarantine.record_success(feature, now);
        self.publish_clearance(feature, crashes, reason);
    }

    fn publish_clearance(&self, feature: FeatureHash, crashes: usize, reason: ClearanceReason<'_>) {
        if crashes >= MIN_CRASHES_TO_PUBLISH {
            self.log_cleared(feature, crashes, &self.settings.name, reason);
            self.publish_gossip(Gossip::Cleared { feature });
        }
    }
}
