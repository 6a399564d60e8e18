//! Advances roll-outs and reports their progress to the operator.
//!
//! There is no leader. The entry whose rotation slot comes first writes a due step with a
//! compare-and-swap; the others receive it through the watch like any other change. An entry that
//! comes second gets a conflict and applies the step that was written. An entry that restarts
//! resumes from the stage recorded in the store.

mod apply;
mod listing;
mod lost_steps;
mod quarantine;
mod records;
mod rejecting_versions;
mod rotation;

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    rc::Rc,
    time::Duration,
};

use pondwalk_decide::direct::{RollOut, RollOutStep, SessionKey, Stage};
use pondwalk_store::{Change, Expect, Position, StoreError};
use tokio::{sync::Notify, time::timeout};

use lost_steps::outcome_at;
use records::{RollOutEvent, StageRecord};
use rejecting_versions::RejectingVersions;
use rotation::{Rotation, rotation_delay};

use crate::{
    catalog::ServiceId,
    core::Core,
    event_log::LogPriority,
    membership::{Gossip, MAX_SESSIONS_PER_ITEM},
    metrics::{Counter, StoreCause, Timer},
    port::{Port, Progress},
};

/// Key prefix of the roll-out stage records, one per service.
const STAGE_PREFIX: &str = "pondwalk/roll-out/";
/// Maximum time between two checks for due steps.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Range over which entries spread writes that all of them would otherwise make at the same moment.
const STAGGER_RANGE: Duration = Duration::from_millis(120);
/// Number of slots in [`STAGGER_RANGE`].
const STAGGER_SLOTS: usize = 120;
/// Minimum time between two reports of this entry's observations.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Additional report interval per listed entry: all entries together report at most 400 times a
/// second.
const REPORT_INTERVAL_PER_ENTRY: Duration = Duration::from_micros(2_500);
/// Delay after a step that could not be written.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Advances all roll-outs.
pub struct Coordinator {
    core: Rc<Core>,
    port: Port,
    wake: Notify,
    revisions: RefCell<HashMap<String, u64>>,
    stages: RefCell<HashMap<ServiceId, StageRecord>>,
    reported_progress: RefCell<HashMap<ServiceId, Progress>>,
    /// Roll-outs with a step that is missing from a restored store.
    lost_steps: RefCell<HashSet<ServiceId>>,
    /// Steps whose write got no reply, each with the time until which it isn't retried: by then the
    /// watch shows whether the write was applied.
    unconfirmed_until: RefCell<HashMap<ServiceId, Duration>>,
    /// Time by which the entries listed last should have appeared in the watch.
    listing_pending_until: Cell<Duration>,
    /// Writes the record of quarantined contents.
    quarantine_writer: quarantine::QuarantineWriter,
    /// Versions of which every server rejects all requests.
    rejecting_versions: RefCell<RejectingVersions>,
    /// Time of the next check for such versions.
    next_rejection_check: Cell<Duration>,
}

impl Coordinator {
    /// Creates a coordinator without any roll-outs.
    pub fn new(core: Rc<Core>, port: Port) -> Self {
        Coordinator {
            core,
            port,
            wake: Notify::new(),
            revisions: RefCell::default(),
            stages: RefCell::default(),
            reported_progress: RefCell::default(),
            lost_steps: RefCell::default(),
            unconfirmed_until: RefCell::default(),
            listing_pending_until: Cell::default(),
            quarantine_writer: quarantine::QuarantineWriter::default(),
            rejecting_versions: RefCell::default(),
            next_rejection_check: Cell::default(),
        }
    }

    /// Wakes the coordinator after a state change, which may have made steps due.
    pub fn wake(&self) {
        self.wake.notify_one();
    }

    /// Writes due steps for as long as the process runs.
    pub async fn run(&self) {
        let mut rotation = Rotation::default();
        let mut pause = POLL_INTERVAL;
        loop {
            // The timeout is the next regular check or the next rotation slot.
            let _ = timeout(pause, self.wake.notified()).await;
            self.publish_observations();
            self.evaluate_trials();
            self.check_rejecting_versions();
            let due = self.due_steps();
            let now = self.core.clock.now();
            let (ready, next) =
                rotation.ready(&due, now, |service, step| self.write_delay(service, step));
            pause = next.map_or(POLL_INTERVAL, |next| next.min(POLL_INTERVAL));
            for service in ready.into_iter().filter(|service| !self.is_awaiting_outcome(service)) {
                // Another entry may have written the step meanwhile.
                if let Some(step) = self.due_step(&service) {
                    self.write_step(&service, step).await;
                }
            }
            self.list_joined(self.rotation_delay()).await;
            self.write_quarantine_record(self.rotation_delay()).await;
        }
    }

    /// How long this entry waits before it writes a due step.
    fn write_delay(&self, service: &ServiceId, step: RollOutStep) -> Duration {
        let membership = &self.core.settings.membership;
        let is_due_everywhere = match step {
            // Sessions that stay on the old version are published by gossip, which doesn't load
            // the store and is batched on its way.
            RollOutStep::Keep => return Duration::ZERO,
            RollOutStep::Begin | RollOutStep::Widen | RollOutStep::Complete => true,
            RollOutStep::Revert => !self.has_found_bad_locally(service),
        };
        if is_due_everywhere && membership.ordered_steps {
            self.rotation_delay()
        } else {
            STAGGER_RANGE * self.core.members.hash_slot(STAGGER_SLOTS) as u32 / STAGGER_SLOTS as u32
        }
    }

    /// How long this entry leaves due writes to the entries before it in rotation.
    pub(crate) fn rotation_delay(&self) -> Duration {
        rotation_delay(self.core.members.rank(), self.propagation_time())
    }

    /// Upper bound on the time until an entry receives a change that was just written to the store.
    fn propagation_time(&self) -> Duration {
        let times = &self.core.settings.membership.times;
        times.normal_confirmation_age() + self.core.state.borrow().store_latency
    }

    fn is_awaiting_outcome(&self, service: &ServiceId) -> bool {
        let until = self.unconfirmed_until.borrow().get(service).copied();
        until.is_some_and(|until| self.core.clock.now() < until)
    }

    fn has_found_bad_locally(&self, service: &ServiceId) -> bool {
        let state = self.core.state.borrow();
        state.roll_outs.get(service).is_some_and(RollOut::has_tripped_locally)
    }

    fn due_steps(&self) -> Vec<(ServiceId, RollOutStep)> {
        let now = self.core.clock.now();
        let state = self.core.state.borrow();
        let due = state.roll_outs.iter();
        due.filter_map(|(service, roll_out)| {
            Some((service.clone(), self.next_step(service, roll_out, now)?))
        })
        .collect()
    }

    fn due_step(&self, service: &ServiceId) -> Option<RollOutStep> {
        let now = self.core.clock.now();
        let state = self.core.state.borrow();
        self.next_step(service, state.roll_outs.get(service)?, now)
    }

    fn next_step(
        &self,
        service: &ServiceId,
        roll_out: &RollOut,
        now: Duration,
    ) -> Option<RollOutStep> {
        self.lost_step(service, roll_out).or_else(|| roll_out.next_step(now))
    }

    async fn write_step(&self, service: &ServiceId, step: RollOutStep) {
        let Some(target) = self.target_of(service) else { return };
        let stage = match step {
            RollOutStep::Begin => Stage::Trial,
            RollOutStep::Widen => Stage::Widening,
            RollOutStep::Complete => Stage::Completed,
            RollOutStep::Revert => Stage::Reverted,
            RollOutStep::Keep => return self.publish_kept_sessions(service, target),
        };
        let outcome = outcome_at(stage);
        let progress = Progress { service: service.clone(), target: target.clone(), outcome };
        let (progress_key, progress_value) = (self.port.encode_progress)(&progress);
        let record = StageRecord { target, stage: stage.into() };
        // Serializing two strings can't fail.
        let stage_value = serde_json::to_vec(&record).unwrap_or_default();
        let changes = vec![
            self.change(format!("{STAGE_PREFIX}{service}"), stage_value),
            self.change(progress_key, progress_value),
        ];
        let written = self.commit(changes, StoreCause::StepWon).await;
        self.log_step(service, step, &written);
        if step == RollOutStep::Revert
            && matches!(&written, Err(error) if *error != StoreError::Conflict)
        {
            self.publish_bad_version(service);
        }
        let mut outgoing = None;
        if written == Err(StoreError::ResponseLost) {
            let until = self.core.clock.now() + self.propagation_time();
            self.unconfirmed_until.borrow_mut().insert(service.clone(), until);
        }
        if written.is_err() {
            // The watch brings the step if another entry wrote it, or if it was applied although
            // the reply was lost; until then the step stays due.
            tokio::time::sleep(RETRY_DELAY).await;
        } else if let Some(roll_out) = self.core.state.borrow_mut().roll_outs.get_mut(service) {
            roll_out.apply_stage(stage, self.core.clock.now());
            self.lost_steps.borrow_mut().remove(service);
            let (service, stage) = (service.to_string(), stage.into());
            outgoing = Some(Gossip::Stage { service, target: progress.target, stage });
        }
        if let Some(gossip) = outgoing {
            self.core.publish_gossip(gossip);
        }
    }

    /// Publishes a bad version by gossip when the store can't be written.
    fn publish_bad_version(&self, service: &ServiceId) {
        let Some(target) = self.target_of(service) else { return };
        self.core.publish_gossip(Gossip::Bad { service: service.to_string(), target });
    }

    /// Publishes this entry's observations of the versions on trial.
    fn publish_observations(&self) {
        let now = self.core.clock.now();
        let interval = self.report_interval();
        let mut outgoing = Vec::new();
        for (service, roll_out) in &mut self.core.state.borrow_mut().roll_outs {
            if let Some(seen) = roll_out.take_due_observations(now, interval) {
                let (service, target) = (service.to_string(), roll_out.target().clone());
                outgoing.push(Gossip::Seen { service, target, seen });
            }
        }
        outgoing.into_iter().for_each(|gossip| self.core.publish_gossip(gossip));
    }

    /// Time between two reports of observations, so that all entries together don't exceed what a
    /// root can process.
    fn report_interval(&self) -> Duration {
        (REPORT_INTERVAL_PER_ENTRY * self.core.members.count() as u32).max(MIN_REPORT_INTERVAL)
    }

    /// Evaluates the observations of the versions on trial and reverts bad ones.
    fn evaluate_trials(&self) {
        let now = self.core.clock.now();
        let mut state = self.core.state.borrow_mut();
        let trials = state.roll_outs.iter_mut();
        let bad: Vec<ServiceId> = trials
            .filter_map(|(service, roll_out)| roll_out.evaluate(now).then(|| service.clone()))
            .collect();
        drop(state);
        for service in bad {
            let event = RollOutEvent::FoundBadTogether { service: &service };
            self.core.event_log.record(LogPriority::State, &event);
            self.publish_bad_version(&service);
        }
    }

    /// Publishes the sessions that this entry runs on the old version although the trial would move
    /// them.
    fn publish_kept_sessions(&self, service: &ServiceId, target: String) {
        let sessions = self.kept_sessions(service, &target);
        for batch in sessions.chunks(MAX_SESSIONS_PER_ITEM) {
            let (service, sessions) = (service.to_string(), batch.to_vec());
            self.core.publish_gossip(Gossip::Kept { service, target: target.clone(), sessions });
        }
        self.update_roll_out(service, &target, RollOut::record_kept_published);
    }

    fn kept_sessions(&self, service: &ServiceId, target: &str) -> Vec<SessionKey> {
        let state = self.core.state.borrow();
        let Some(roll_out) = state.roll_outs.get(service) else { return Vec::new() };
        let running = state.sessions.running_on_other_versions(target, self.core.clock.now());
        running.filter(|session| roll_out.is_in_trial_share(*session)).collect()
    }

    fn log_step(&self, service: &str, step: RollOutStep, written: &Result<Position, StoreError>) {
        let step = format!("{step:?}").to_lowercase();
        let event = match written {
            Ok(Position { revision, .. }) => {
                RollOutEvent::StepWritten { service, step, revision: *revision }
            }
            Err(error) => RollOutEvent::StepFailed { service, step, error: error.to_string() },
        };
        self.core.event_log.record(LogPriority::State, &event);
    }

    /// Commits changes to the store; counts and times the call.
    pub(crate) async fn commit(
        &self,
        changes: Vec<Change>,
        cause: StoreCause,
    ) -> Result<Position, StoreError> {
        let sent = self.core.clock.now();
        let written = (self.port.store.commit)(changes).await;
        self.core.metrics.time(Timer::StoreCall, self.core.clock.now().saturating_sub(sent));
        let cause = match cause {
            StoreCause::StepWon if written.is_err() => StoreCause::StepLost,
            cause => cause,
        };
        self.core.metrics.count_store_call(cause);
        if written.is_err() {
            self.core.metrics.count(Counter::StoreFailures);
        }
        written
    }

    fn change(&self, key: String, value: Vec<u8>) -> Change {
        let revision = self.revisions.borrow().get(&key).copied();
        let expect = revision.map_or(Expect::Absent, Expect::Revision);
        Change { key, value, expect, lease: None }
    }

    fn target_of(&self, service: &ServiceId) -> Option<String> {
        Some(self.core.state.borrow().roll_outs.get(service)?.target().clone())
    }
}
