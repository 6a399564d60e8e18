//! Carries roll-outs forward and tells the operator how far they have come.
//!
//! No entry leads. Whichever sees that a step is due writes it under the condition that nobody
//! has written since; the others learn of it by their watch. Who comes second finds the
//! condition broken and reads what was written. An entry that restarts takes up where the store
//! says the roll-out stands.

mod learn;
mod records;

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use pondwalk_decide::direct::{Doubt, Move, SessionKey, Stage};
use pondwalk_store::{Change, Expect, StoreError};
use rand::Rng;
use tokio::{sync::Notify, time::timeout};

use records::{DoubtRecord, KeptRecord, RollOutEvent, StageRecord};

use crate::{
    catalog::ServiceId,
    core::Core,
    facts::{Outcome, Port, Progress},
    journal::Rank,
    metrics::{Counter, Timer},
    peers::{BadVersion, PeerClient},
};

/// Where the entries keep how far a roll-out has come, by service.
const STAGE_PREFIX: &str = "pondwalk/roll-out/";
/// Where each entry keeps its doubt about a roll-out, by service and entry.
const DOUBT_PREFIX: &str = "pondwalk/doubt/";
/// Where each entry keeps the sessions that stay on the old version, by service and entry.
const KEPT_PREFIX: &str = "pondwalk/kept/";
/// Longest time between two looks at what is due.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);
/// Time over which entries spread their first try at a step, so that mostly one makes it.
const SPREAD: Duration = Duration::from_millis(120);
/// Pause after a step that could not be written.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Follows all roll-outs.
pub struct Conductor {
    core: Rc<Core>,
    port: Port,
    wake: Notify,
    revisions: RefCell<HashMap<String, u64>>,
    stages: RefCell<HashMap<ServiceId, StageRecord>>,
    told: RefCell<HashMap<ServiceId, Progress>>,
    own_values: RefCell<HashMap<String, String>>,
}

impl Conductor {
    /// Knows of no roll-outs yet.
    pub fn new(core: Rc<Core>, port: Port) -> Self {
        Conductor {
            core,
            port,
            wake: Notify::new(),
            revisions: RefCell::default(),
            stages: RefCell::default(),
            told: RefCell::default(),
            own_values: RefCell::default(),
        }
    }

    /// Something was learned; what is due may have changed.
    pub fn wake(&self) {
        self.wake.notify_one();
    }

    /// Writes the steps that are due, for as long as the process runs.
    pub async fn run(&self) {
        loop {
            // NB: the time limit is the next regular look.
            let _ = timeout(LOOK_INTERVAL, self.wake.notified()).await;
            let due = self.due();
            if due.is_empty() {
                continue;
            }
            self.spread().await;
            for (service, _) in due {
                // NB: another entry may have made the step meanwhile.
                if let Some(step) = self.due_for(&service) {
                    self.make(&service, step).await;
                }
            }
        }
    }

    async fn spread(&self) {
        let spread_ms = SPREAD.as_millis() as u64;
        let pause_ms = self.core.state.borrow_mut().rng.random_range(0..spread_ms);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }

    fn due(&self) -> Vec<(ServiceId, Move)> {
        let now = self.core.clock.now();
        let state = self.core.state.borrow();
        let due = state.roll_outs.iter();
        let entries = self.core.peers.count();
        due.filter_map(|(service, one)| Some((service.clone(), one.next_move(now, entries)?)))
            .collect()
    }

    fn due_for(&self, service: &ServiceId) -> Option<Move> {
        let now = self.core.clock.now();
        let entries = self.core.peers.count();
        self.core.state.borrow().roll_outs.get(service)?.next_move(now, entries)
    }

    async fn make(&self, service: &ServiceId, step: Move) {
        let Some(target) = self.target_of(service) else { return };
        let (stage, outcome) = match step {
            Move::Begin => (Stage::Trial, Outcome::InProgress),
            Move::Widen => (Stage::Widening, Outcome::InProgress),
            Move::Complete => (Stage::Completed, Outcome::Completed),
            Move::Revert => (Stage::Reverted, Outcome::Reverted),
            Move::Keep => return self.tell_kept(service, &target).await,
            Move::Doubt => return self.tell_doubt(service, &target).await,
        };
        let progress = Progress { service: service.clone(), target: target.clone(), outcome };
        let (progress_key, progress_value) = (self.port.write_progress)(&progress);
        let record = StageRecord { target, stage: stage.into() };
        // NB: two texts always serialize.
        let stage_value = serde_json::to_vec(&record).unwrap_or_default();
        let changes = vec![
            self.change(format!("{STAGE_PREFIX}{service}"), stage_value),
            self.change(progress_key, progress_value),
        ];
        let written = self.commit(changes).await;
        self.note_written(service, step, &written);
        if step == Move::Revert && matches!(&written, Err(error) if *error != StoreError::Conflict)
        {
            self.tell_others(service).await;
        }
        if written.is_err() {
            // NB: the watch brings what another entry wrote, and what an answer that was lost
            // left behind; until then the step counts as due.
            tokio::time::sleep(RETRY_PAUSE).await;
        } else if let Some(roll_out) = self.core.state.borrow_mut().roll_outs.get_mut(service) {
            roll_out.learn_stage(stage, self.core.clock.now());
        }
    }

    /// Tells a few other entries of a bad version that the store could not be told of.
    async fn tell_others(&self, service: &ServiceId) {
        let Some(target) = self.target_of(service) else { return };
        let bad = BadVersion { service: service.to_string(), target };
        for address in self.core.peers.some_others(self.core.clock.now()) {
            let told = PeerClient::tell_bad(&self.core.connect, address, &bad).await;
            let error = told.err().map(|error| error.to_string());
            let event = RollOutEvent::ToldBad { service, entry: address.to_string(), error };
            self.core.journal.note(Rank::State, &event);
        }
    }

    /// Writes a key of this entry's own, unless it holds the value already.
    pub async fn write_if_changed(&self, key: String, value: String) {
        let held = self.own_values.borrow().get(&key) == Some(&value);
        if held {
            return;
        }
        let changes = vec![self.change(key.clone(), value.clone().into_bytes())];
        match self.commit(changes).await {
            Ok(_) => {
                self.own_values.borrow_mut().insert(key, value);
            }
            // NB: an entry that is not listed watches the store itself, and tries again when it
            // next reads everything.
            Err(error) => {
                let event = RollOutEvent::NotListed { key, error: error.to_string() };
                self.core.journal.note(Rank::State, &event);
            }
        }
    }

    async fn tell_doubt(&self, service: &ServiceId, target: &str) {
        let Some(doubt) = self.own_doubt(service) else { return };
        let record = DoubtRecord { target: target.to_owned(), doubt: doubt.into() };
        // NB: two texts always serialize.
        let value = serde_json::to_vec(&record).unwrap_or_default();
        let name = &self.core.settings.name;
        let key = format!("{DOUBT_PREFIX}{service}/{name}");
        let written = self.commit(vec![self.change(key, value.clone())]).await;
        self.note_written(service, Move::Doubt, &written);
        if written.is_err() {
            tokio::time::sleep(RETRY_PAUSE).await;
        } else {
            self.learn_doubt(service, name, &value);
        }
    }

    fn own_doubt(&self, service: &ServiceId) -> Option<Doubt> {
        let entries = self.core.peers.count();
        self.core.state.borrow().roll_outs.get(service)?.doubt(entries)
    }

    /// Tells which sessions that the trial would move run through this entry already.
    async fn tell_kept(&self, service: &ServiceId, target: &str) {
        let record = KeptRecord { target: target.to_owned(), sessions: self.kept(service, target) };
        // NB: a text and numbers always serialize.
        let value = serde_json::to_vec(&record).unwrap_or_default();
        let name = &self.core.settings.name;
        if !record.sessions.is_empty() {
            let key = format!("{KEPT_PREFIX}{service}/{name}");
            let written = self.commit(vec![self.change(key, value.clone())]).await;
            self.note_written(service, Move::Keep, &written);
        }
        // NB: told or not, once is enough; what is not known in time is of no use later.
        self.learn_kept(service, name, &value);
    }

    fn kept(&self, service: &ServiceId, target: &str) -> Vec<SessionKey> {
        let state = self.core.state.borrow();
        let Some(roll_out) = state.roll_outs.get(service) else { return Vec::new() };
        let running = state.sessions.running_off(target, self.core.clock.now());
        running.filter(|session| roll_out.would_try(*session)).collect()
    }

    fn note_written(&self, service: &str, step: Move, written: &Result<u64, StoreError>) {
        let step = format!("{step:?}").to_lowercase();
        let event = match written {
            Ok(revision) => RollOutEvent::StepWritten { service, step, revision: *revision },
            Err(error) => RollOutEvent::StepFailed { service, step, error: error.to_string() },
        };
        self.core.journal.note(Rank::State, &event);
    }

    /// Writes to the store, counted and timed.
    async fn commit(&self, changes: Vec<Change>) -> Result<u64, StoreError> {
        let sent = self.core.clock.now();
        self.core.metrics.count(Counter::StoreCalls);
        let written = (self.port.store.commit)(changes).await;
        self.core.metrics.time(Timer::StoreCall, self.core.clock.now().saturating_sub(sent));
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
