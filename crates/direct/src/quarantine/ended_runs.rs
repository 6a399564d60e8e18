//! Ended runs: what they prove is decided once it is known whether their servers have kept running.

use std::{collections::HashMap, rc::Rc, time::Duration};

use pondwalk_decide::direct::{EndedRun, FeatureHash, RunExtent, server_hash};
use tokio::{task::spawn_local, time::sleep};

use super::events::ClearanceReason;
use crate::{
    core::Core,
    placement::Placement,
    request::Job,
    upstream::{ListenerState, check_listener},
};

/// Interval at which ended runs are examined. Runs at one server that are due together need one
/// connection to it.
const EXAMINATION_INTERVAL: Duration = Duration::from_millis(100);

/// Examines ended runs for as long as the process runs.
pub async fn examine_ended_runs(core: Rc<Core>) {
    loop {
        sleep(EXAMINATION_INTERVAL).await;
        core.examine_due_runs();
    }
}

impl Core {
    /// Records that a run has ended while its server kept running.
    pub fn record_ended_run(
        &self,
        job: &Job,
        placement: &Placement,
        probed: Vec<FeatureHash>,
        extent: RunExtent,
    ) {
        let mut state = self.state.borrow_mut();
        if extent == RunExtent::Whole && state.quarantine.knows_success_of(job.features()) {
            return;
        }
        let run = EndedRun {
            request: job.id.clone(),
            features: job.features().to_vec(),
            probed,
            extent,
            took: placement.elapsed(),
            service: placement.service().clone(),
            server: placement.server().clone(),
            server_hash: server_hash(placement.server()),
            address: placement.address,
        };
        state.quarantine.record_ended_run(run, self.clock.now());
    }

    fn examine_due_runs(self: &Rc<Self>) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let contested = state.quarantine.settle_contested_runs(now);
        let due = state.quarantine.take_due_runs(now);
        drop(state);
        for (run, crashes) in contested {
            let reason =
                ClearanceReason::ContestedRun { request: &run.request, server: &run.server };
            self.publish_clearance(run.features[0], crashes, reason);
        }
        let mut by_server: HashMap<u64, Vec<Rc<EndedRun>>> = HashMap::new();
        for run in due {
            by_server.entry(run.server_hash).or_default().push(run);
        }
        for runs in by_server.into_values() {
            let core = Rc::clone(self);
            spawn_local(async move { core.examine_runs(&runs).await });
        }
    }

    /// Decides what runs at one server prove.
    async fn examine_runs(&self, runs: &[Rc<EndedRun>]) {
        let Some(first) = runs.first() else { return };
        let is_suspected = {
            let state = self.state.borrow();
            runs.iter().any(|run| state.quarantine.max_crash_count(&run.features) > 0)
        };
        // The server's crash may have gone unnoticed if nothing else ran there.
        let is_alive = !is_suspected
            || check_listener(&self.connect, first.address).await == ListenerState::Accepts;
        for run in runs {
            if is_alive {
                self.settle_run(run);
            } else {
                self.state.borrow_mut().quarantine.forget_run(run);
            }
        }
    }

    fn settle_run(&self, run: &Rc<EndedRun>) {
        let now = self.clock.now();
        let cleared = self.state.borrow_mut().quarantine.settle_run(run, now);
        let reason = ClearanceReason::WholeRun { request: &run.request, server: &run.server };
        for (feature, crashes) in cleared {
            self.publish_clearance(feature, crashes, reason);
        }
    }
}
