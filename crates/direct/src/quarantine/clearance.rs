//! Successful runs, and clearances of features that others quarantine although they succeeded at
//! this entry.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use hyper::{
    Response, StatusCode,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};
use pondwalk_decide::direct::{FeatureHash, server_hash};
use tokio::{
    sync::Notify,
    task::spawn_local,
    time::{sleep, timeout},
};

use super::CONNECT_TIMEOUT;
use crate::{
    core::Core, membership::Gossip, placement::Placement, request::Job, upstream::Connect,
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

/// Time after an answer without a marked end until its server is checked. A server that crashed has
/// closed its listening socket by then and takes seconds to restart.
const VERIFICATION_DELAY: Duration = Duration::from_millis(300);

/// How the answer to a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerEnd {
    /// With its length or its last chunk.
    Marked,
    /// With its connection, as it does if the server crashes.
    Unmarked,
    /// Without any event of the run; it shows nothing about the prompt.
    WithoutEvents,
}

impl AnswerEnd {
    /// How a response ends if it is complete.
    pub fn of<B>(response: &Response<B>) -> Self {
        let (status, headers) = (response.status(), response.headers());
        let is_marked = headers.contains_key(CONTENT_LENGTH)
            || headers.contains_key(TRANSFER_ENCODING)
            || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        if is_marked { AnswerEnd::Marked } else { AnswerEnd::Unmarked }
    }
}

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
                core.publish_clearance(feature, crashes);
            }
        }
    }
}

impl Core {
    /// Records a successful run, which clears the features of its request.
    pub fn record_success(self: &Rc<Self>, job: &Rc<Job>, placement: &Placement, end: AnswerEnd) {
        match end {
            AnswerEnd::Unmarked => return self.verify_success(job, placement),
            AnswerEnd::Marked => {
                let (now, server) = (self.clock.now(), server_hash(placement.server()));
                let mut state = self.state.borrow_mut();
                state.quarantine.record_settling_run(job.part_features(), server, now);
            }
            AnswerEnd::WithoutEvents => {}
        }
        self.clear(job.content());
        self.apply_settled_runs();
    }

    /// Records the successful runs whose servers have kept running.
    pub fn apply_settled_runs(&self) {
        let now = self.clock.now();
        loop {
            let settled = self.state.borrow_mut().quarantine.pop_settled(now);
            let Some(parts) = settled else { return };
            parts.into_iter().for_each(|part| self.clear(part));
        }
    }

    /// Records a run whose answer had no marked end once its server is known to run, if the success
    /// matters.
    fn verify_success(self: &Rc<Self>, job: &Rc<Job>, placement: &Placement) {
        let state = self.state.borrow();
        let quarantine = &state.quarantine;
        let is_suspected = quarantine.max_crash_count(job.features()) > 0;
        if !is_suspected && quarantine.knows_success_of(job.part_features()) {
            return;
        }
        drop(state);
        let (core, job, address) = (Rc::clone(self), Rc::clone(job), placement.address);
        spawn_local(async move {
            sleep(VERIFICATION_DELAY).await;
            if is_reachable(&core.connect, address).await {
                job.features().iter().for_each(|feature| core.clear(*feature));
            }
        });
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

    fn clear(&self, feature: FeatureHash) {
        let now = self.clock.now();
        let crashes = self.state.borrow_mut().quarantine.record_success(feature, now);
        self.publish_clearance(feature, crashes);
    }

    fn publish_clearance(&self, feature: FeatureHash, crashes: usize) {
        if crashes >= MIN_CRASHES_TO_PUBLISH {
            self.log_cleared(feature, crashes, &self.settings.name);
            self.publish_gossip(Gossip::Cleared { feature });
        }
    }
}

/// Whether a server accepts connections.
pub async fn is_reachable(connect: &Connect, address: SocketAddr) -> bool {
    timeout(CONNECT_TIMEOUT, connect(address)).await.is_ok_and(|open| open.is_ok())
}
