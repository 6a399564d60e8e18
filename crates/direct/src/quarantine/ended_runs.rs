//! Ended runs: what they prove is decided once it is known whether their servers have kept running.

use std::{
    collections::{BTreeMap, HashSet},
    rc::Rc,
    time::Duration,
};

use pondwalk_decide::direct::{EndedRun, FeatureHash, RunExtent, server_hash};
use tokio::{task::spawn_local, time::sleep};

use super::{
    QuarantineEvent,
    events::{ClearanceReason, parts_text},
};
use crate::{
    content::content_text,
    core::Core,
    event_log::LogPriority,
    metrics::Counter,
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
        let is_known = self.state.borrow().quarantine.knows_success_of(job.features());
        if extent == RunExtent::Whole && is_known {
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
            version: placement.version.clone(),
            kind: placement.kind(),
            address: placement.address,
            may_be_leaving: placement.may_be_leaving(),
        };
        let (request, server) = (run.request.clone(), run.server.clone());
        let mut state = self.state.borrow_mut();
        let cleared = state.quarantine.record_ended_run(run, self.clock.now());
        drop(state);
        self.publish_clearances(cleared, &request, &server);
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
            self.publish_clearance(run.content(), crashes, reason);
        }
        if due.is_empty() {
            return;
        }
        let answering = self.answering_servers();
        let mut by_server: BTreeMap<u64, Vec<Rc<EndedRun>>> = BTreeMap::new();
        for run in due {
            if answering.contains(&run.server_hash) {
                self.settle_run(&run);
            } else {
                by_server.entry(run.server_hash).or_default().push(run);
            }
        }
        for runs in by_server.into_values() {
            let core = Rc::clone(self);
            spawn_local(async move { core.examine_runs(&runs).await });
        }
    }

    /// The servers whose crash this entry would notice, since they are answering its requests.
    fn answering_servers(&self) -> HashSet<u64> {
        self.state.borrow().fleets.values().flat_map(|fleet| fleet.answering_servers()).collect()
    }

    /// Decides what runs at one server prove, which may have crashed unnoticed since.
    async fn examine_runs(&self, runs: &[Rc<EndedRun>]) {
        let is_known =
            |run: &Rc<EndedRun>| self.state.borrow().quarantine.knows_success_of(&run.features);
        let Some(first) = runs.first() else { return };
        if runs.iter().all(is_known) {
            return self.forget_runs(runs);
        }
        match check_listener(&self.connect, first.address).await {
            ListenerState::Accepts => runs.iter().for_each(|run| self.settle_run(run)),
            ListenerState::Refuses if !runs.iter().any(|run| run.may_be_leaving) => {
                if self.record_unnoticed_crash(first.server_hash) {
                    self.log_unnoticed_crash(first);
                }
            }
            ListenerState::Refuses | ListenerState::Unknown => self.forget_runs(runs),
        }
    }

    fn forget_runs(&self, runs: &[Rc<EndedRun>]) {
        let mut state = self.state.borrow_mut();
        runs.iter().for_each(|run| state.quarantine.forget_run(run));
    }

    fn log_unnoticed_crash(&self, run: &EndedRun) {
        self.metrics.count(Counter::CrashesAfterRuns);
        let event = QuarantineEvent::ServerCrashedAfterRun {
            request: &run.request,
            server: &run.server,
            content: &content_text(run.content()),
            prompt_parts: &parts_text(&run.features),
        };
        self.event_log.record(LogPriority::Failure, &event);
    }

    fn settle_run(&self, run: &Rc<EndedRun>) {
        let now = self.clock.now();
        let cleared = self.state.borrow_mut().quarantine.settle_run(run, now);
        self.publish_clearances(cleared, &run.request, &run.server);
    }

    fn publish_clearances(&self, cleared: Vec<(FeatureHash, usize)>, request: &str, server: &str) {
        for (feature, crashes) in cleared {
            let reason = ClearanceReason::WholeRun { request, server };
            self.publish_clearance(feature, crashes, reason);
        }
    }
}
