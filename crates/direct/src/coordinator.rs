//! Carries roll-outs forward and tells the operator how far they have come.
//!
//! No entry leads. Whichever's turn it is to make a step that is due writes it under the condition
//! that nobody has written since; the others learn of it with all other changes. Who comes second
//! finds the condition broken and hears what was written. An entry that restarts takes up where the
//! store says the roll-out stands.

mod learn;
mod listing;
mod quarantine;
mod records;
mod restored;
mod turning_away;
mod turns;

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    rc::Rc,
    time::Duration,
};

use pondwalk_decide::direct::{Move, RollOut, SessionKey, Stage};
use pondwalk_store::{Change, Expect, Position, StoreError};
use tokio::{sync::Notify, time::timeout};

use records::{RollOutEvent, StageRecord};
use restored::outcome_at;
use turning_away::TurningAway;
use turns::{Turns, wait_in_order};

use crate::{
    catalog::ServiceId,
    core::Core,
    event_log::LogPriority,
    membership::{Gossip, MAX_SESSIONS_PER_ITEM},
    metrics::{Counter, StoreCause, Timer},
    port::{Port, Progress},
};

/// Where the entries keep how far a roll-out has come, by service.
const STAGE_PREFIX: &str = "pondwalk/roll-out/";
/// Longest time between two looks at what is due.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);
/// Time over which entries spread what all of them write at the same moment.
const SPREAD: Duration = Duration::from_millis(120);
/// Parts of that time.
const SPREAD_STEPS: usize = 120;
/// Least time between two tellings of what an entry has seen.
const LEAST_TELLING_INTERVAL: Duration = Duration::from_millis(250);
/// The same for each entry: together they tell at most 400 times a second.
const TELLING_OF_ONE: Duration = Duration::from_micros(2_500);
/// Pause after a step that could not be written.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Follows all roll-outs.
pub struct Coordinator {
    core: Rc<Core>,
    port: Port,
    wake: Notify,
    revisions: RefCell<HashMap<String, u64>>,
    stages: RefCell<HashMap<ServiceId, StageRecord>>,
    told: RefCell<HashMap<ServiceId, Progress>>,
    /// Roll-outs of which a restored store was found to lack a step.
    lost_steps: RefCell<HashSet<ServiceId>>,
    /// Until when a step is left alone whose write got no answer: by then the store tells whether it
    /// was done.
    unanswered: RefCell<HashMap<ServiceId, Duration>>,
    /// Until when what was listed last is expected to be heard of.
    listed_until: Cell<Duration>,
    /// What the store holds of contents that are held.
    kept: quarantine::Kept,
    /// Versions all of whose servers turn everything away.
    turning_away: RefCell<TurningAway>,
    /// When they are looked for next.
    turning_away_next: Cell<Duration>,
}

impl Coordinator {
    /// Knows of no roll-outs yet.
    pub fn new(core: Rc<Core>, port: Port) -> Self {
        Coordinator {
            core,
            port,
            wake: Notify::new(),
            revisions: RefCell::default(),
            stages: RefCell::default(),
            told: RefCell::default(),
            lost_steps: RefCell::default(),
            unanswered: RefCell::default(),
            listed_until: Cell::default(),
            kept: quarantine::Kept::default(),
            turning_away: RefCell::default(),
            turning_away_next: Cell::default(),
        }
    }

    /// Something was learned; what is due may have changed.
    pub fn wake(&self) {
        self.wake.notify_one();
    }

    /// Writes the steps that are due, for as long as the process runs.
    pub async fn run(&self) {
        let mut turns = Turns::default();
        let mut pause = LOOK_INTERVAL;
        loop {
            // NB: the time limit is the next regular look, or the next turn.
            let _ = timeout(pause, self.wake.notified()).await;
            self.tell_seen();
            self.weigh_trials();
            self.look_for_turning_away();
            let due = self.due();
            let now = self.core.clock.now();
            let (ready, next) =
                turns.ready(&due, now, |service, step| self.wait_with(service, step));
            pause = next.map_or(LOOK_INTERVAL, |next| next.min(LOOK_INTERVAL));
            for service in ready.into_iter().filter(|service| !self.awaits_word_of(service)) {
                // NB: another entry may have made the step meanwhile.
                if let Some(step) = self.due_for(&service) {
                    self.make(&service, step).await;
                }
            }
            self.list_joined(self.wait_in_order()).await;
            self.store_quarantine(self.wait_in_order()).await;
        }
    }

    /// How long this entry waits with a step that is due.
    fn wait_with(&self, service: &ServiceId, step: Move) -> Duration {
        let membership = &self.core.settings.membership;
        let is_known_to_all = match step {
            // NB: news goes nowhere near the store, and is gathered on its way.
            Move::Keep => return Duration::ZERO,
            Move::Begin | Move::Widen | Move::Complete => true,
            Move::Revert => !self.has_found_bad(service),
        };
        if is_known_to_all && membership.ordered_steps {
            self.wait_in_order()
        } else {
            SPREAD * self.core.members.hash_slot(SPREAD_STEPS) as u32 / SPREAD_STEPS as u32
        }
    }

    /// How long this entry leaves to those before it what is due at all.
    pub(crate) fn wait_in_order(&self) -> Duration {
        wait_in_order(self.core.members.rank(), self.time_to_hear())
    }

    /// Longest time until an entry hears what was just written to the store.
    fn time_to_hear(&self) -> Duration {
        let times = &self.core.settings.membership.times;
        times.normal_confirmation_age() + self.core.state.borrow().store_latency
    }

    fn awaits_word_of(&self, service: &ServiceId) -> bool {
        let until = self.unanswered.borrow().get(service).copied();
        until.is_some_and(|until| self.core.clock.now() < until)
    }

    fn has_found_bad(&self, service: &ServiceId) -> bool {
        let state = self.core.state.borrow();
        state.roll_outs.get(service).is_some_and(RollOut::has_found_bad)
    }

    fn due(&self) -> Vec<(ServiceId, Move)> {
        let now = self.core.clock.now();
        let state = self.core.state.borrow();
        let due = state.roll_outs.iter();
        due.filter_map(|(service, one)| Some((service.clone(), self.next_step(service, one, now)?)))
            .collect()
    }

    fn due_for(&self, service: &ServiceId) -> Option<Move> {
        let now = self.core.clock.now();
        let state = self.core.state.borrow();
        self.next_step(service, state.roll_outs.get(service)?, now)
    }

    fn next_step(&self, service: &ServiceId, roll_out: &RollOut, now: Duration) -> Option<Move> {
        self.lost_step(service, roll_out).or_else(|| roll_out.next_move(now))
    }

    async fn make(&self, service: &ServiceId, step: Move) {
        let Some(target) = self.target_of(service) else { return };
        let stage = match step {
            Move::Begin => Stage::Trial,
            Move::Widen => Stage::Widening,
            Move::Complete => Stage::Completed,
            Move::Revert => Stage::Reverted,
            Move::Keep => return self.tell_kept(service, target),
        };
        let outcome = outcome_at(stage);
        let progress = Progress { service: service.clone(), target: target.clone(), outcome };
        let (progress_key, progress_value) = (self.port.encode_progress)(&progress);
        let record = StageRecord { target, stage: stage.into() };
        // NB: two texts always serialize.
        let stage_value = serde_json::to_vec(&record).unwrap_or_default();
        let changes = vec![
            self.change(format!("{STAGE_PREFIX}{service}"), stage_value),
            self.change(progress_key, progress_value),
        ];
        let written = self.commit(changes, StoreCause::StepWon).await;
        self.note_written(service, step, &written);
        if step == Move::Revert && matches!(&written, Err(error) if *error != StoreError::Conflict)
        {
            self.tell_bad(service);
        }
        let mut told = None;
        if written == Err(StoreError::ResponseLost) {
            let until = self.core.clock.now() + self.time_to_hear();
            self.unanswered.borrow_mut().insert(service.clone(), until);
        }
        if written.is_err() {
            // NB: the watch brings what another entry wrote, and what an answer that was lost
            // left behind; until then the step counts as due.
            tokio::time::sleep(RETRY_PAUSE).await;
        } else if let Some(roll_out) = self.core.state.borrow_mut().roll_outs.get_mut(service) {
            roll_out.learn_stage(stage, self.core.clock.now());
            self.lost_steps.borrow_mut().remove(service);
            let (service, stage) = (service.to_string(), stage.into());
            told = Some(Gossip::Stage { service, target: progress.target, stage });
        }
        if let Some(news) = told {
            self.core.publish_gossip(news);
        }
    }

    /// Tells the other entries of a bad version that the store could not be told of.
    fn tell_bad(&self, service: &ServiceId) {
        let Some(target) = self.target_of(service) else { return };
        self.core.publish_gossip(Gossip::Bad { service: service.to_string(), target });
    }

    /// Tells what this entry has seen of the versions on trial.
    fn tell_seen(&self) {
        let now = self.core.clock.now();
        let interval = self.telling_interval();
        let mut told = Vec::new();
        for (service, one) in &mut self.core.state.borrow_mut().roll_outs {
            if let Some(seen) = one.take_seen(now, interval) {
                let (service, target) = (service.to_string(), one.target().clone());
                told.push(Gossip::Seen { service, target, seen });
            }
        }
        told.into_iter().for_each(|news| self.core.publish_gossip(news));
    }

    /// Time between two tellings of what this entry has seen. All entries together tell no more
    /// often than a root can hear.
    fn telling_interval(&self) -> Duration {
        (TELLING_OF_ONE * self.core.members.count() as u32).max(LEAST_TELLING_INTERVAL)
    }

    /// Weighs what has been seen of the versions on trial, and leaves those that are bad.
    fn weigh_trials(&self) {
        let now = self.core.clock.now();
        let mut state = self.core.state.borrow_mut();
        let trials = state.roll_outs.iter_mut();
        let bad: Vec<ServiceId> =
            trials.filter_map(|(service, one)| one.weigh(now).then(|| service.clone())).collect();
        drop(state);
        for service in bad {
            let event = RollOutEvent::FoundBadTogether { service: &service };
            self.core.event_log.record(LogPriority::State, &event);
            self.tell_bad(&service);
        }
    }

    /// Tells which sessions that the trial would move run through this entry already.
    fn tell_kept(&self, service: &ServiceId, target: String) {
        let sessions = self.kept(service, &target);
        for some in sessions.chunks(MAX_SESSIONS_PER_ITEM) {
            let (service, sessions) = (service.to_string(), some.to_vec());
            self.core.publish_gossip(Gossip::Kept { service, target: target.clone(), sessions });
        }
        self.teach(service, &target, RollOut::note_kept_told);
    }

    fn kept(&self, service: &ServiceId, target: &str) -> Vec<SessionKey> {
        let state = self.core.state.borrow();
        let Some(roll_out) = state.roll_outs.get(service) else { return Vec::new() };
        let running = state.sessions.running_off(target, self.core.clock.now());
        running.filter(|session| roll_out.would_try(*session)).collect()
    }

    fn note_written(&self, service: &str, step: Move, written: &Result<Position, StoreError>) {
        let step = format!("{step:?}").to_lowercase();
        let event = match written {
            Ok(Position { revision, .. }) => {
                RollOutEvent::StepWritten { service, step, revision: *revision }
            }
            Err(error) => RollOutEvent::StepFailed { service, step, error: error.to_string() },
        };
        self.core.event_log.record(LogPriority::State, &event);
    }

    /// Writes to the store, counted and timed.
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
