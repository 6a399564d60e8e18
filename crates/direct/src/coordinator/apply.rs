//! Applies roll-out state from the store: orders, stages and reported progress.

use pondwalk_decide::direct::{RollOut, Stage};
use pondwalk_store::StoreEntry;
use serde::de::DeserializeOwned;

use super::{
    Coordinator, STAGE_PREFIX,
    records::{RollOutEvent, StageRecord},
};
use crate::{
    catalog::{Defect, ServiceId},
    event_log::LogPriority,
    port::{Outcome, Progress, RollOutOrder},
    quarantine::QUARANTINE_KEY,
    usage::{is_usage_key, usage_key},
};

impl Coordinator {
    /// Records the latest revision of a key, or its removal, and applies the coordinator's own
    /// records.
    pub fn apply_revision(&self, key: &str, entry: Option<&StoreEntry>) {
        if is_usage_key(key) && key == self.usage_key() {
            self.core.apply_usage_record(entry);
        }
        let Some(entry) = entry else {
            self.revisions.borrow_mut().remove(key);
            return;
        };
        self.revisions.borrow_mut().insert(key.to_owned(), entry.revision);
        if let Some(service) = key.strip_prefix(STAGE_PREFIX) {
            self.apply_stage_record(&service.into(), &entry.value);
        }
        if key == QUARANTINE_KEY {
            self.apply_quarantine_record(&entry.value);
        }
    }

    /// Applies a roll-out order, or its withdrawal.
    pub fn apply_order(&self, service: &ServiceId, order: Option<RollOutOrder>) {
        let Some(order) = order else {
            self.core.state.borrow_mut().roll_outs.remove(service);
            return;
        };
        let mut state = self.core.state.borrow_mut();
        if state.roll_outs.get(service).is_some_and(|known| *known.target() == order.target) {
            return;
        }
        let share = self.core.settings.roll_out.exposure;
        let now = self.core.clock.now();
        // The time limit counts from when the order was given, not from when a late reply brought
        // it.
        let given_at = now.saturating_sub(state.store_latency);
        let times = &self.core.settings.membership.times;
        let propagation = times.confirm_interval + times.exchange;
        let roll_out =
            RollOut::new(order.target.clone(), order.within, given_at, share, propagation);
        let previous = state.roll_outs.insert(service.clone(), roll_out);
        let fleet = state.fleet(service);
        // Servers of a reverted version stay for a while; they aren't part of the old version with
        // which the next one is compared.
        if let Some(previous) = previous.filter(RollOut::is_withdrawn) {
            fleet.exclude_version(previous.target());
        }
        fleet.readmit_version(&order.target);
        drop(state);
        let within_ms = order.within.as_millis() as u64;
        let event = RollOutEvent::Ordered { service, target: &order.target, within_ms };
        self.core.event_log.record(LogPriority::State, &event);
        for Defect { field, value, effect, .. } in &order.defects.list {
            let event = RollOutEvent::OrderDefect { service, field, value, effect: *effect };
            self.core.event_log.record(LogPriority::State, &event);
        }
        self.core.reapply_gossip_of(service);
        self.apply_stored_state(service);
    }

    /// Applies the progress that was reported to the operator.
    pub fn apply_progress(&self, service: &ServiceId, progress: Option<&Progress>) {
        match progress {
            Some(progress) => {
                self.reported_progress.borrow_mut().insert(service.clone(), progress.clone());
                self.apply_stored_state(service);
            }
            None => {
                self.reported_progress.borrow_mut().remove(service);
            }
        }
    }

    /// Forgets the revisions of keys that are missing from a snapshot.
    pub fn retain_listed(&self, entries: &[StoreEntry]) {
        let usage_key = self.usage_key();
        if entries.iter().all(|entry| entry.key != usage_key) {
            self.core.apply_usage_record(None);
        }
        let mut revisions = self.revisions.borrow_mut();
        revisions.retain(|key, _| entries.iter().any(|entry| entry.key == *key));
    }

    fn usage_key(&self) -> String {
        usage_key(self.core.state.borrow().replica.position().era)
    }

    fn apply_stage_record(&self, service: &ServiceId, value: &[u8]) {
        let Some(record) = self.parse_record::<StageRecord>(service, "read the stage", value)
        else {
            return;
        };
        self.stages.borrow_mut().insert(service.clone(), record);
        self.apply_stored_state(service);
    }

    /// Parses one of the entries' own records; logs those that can't be parsed.
    fn parse_record<T: DeserializeOwned>(
        &self,
        service: &str,
        step: &str,
        value: &[u8],
    ) -> Option<T> {
        let record = serde_json::from_slice(value);
        if let Err(error) = &record {
            let (step, error) = (step.to_owned(), error.to_string());
            let event = RollOutEvent::StepFailed { service, step, error };
            self.core.event_log.record(LogPriority::State, &event);
        }
        record.ok()
    }

    /// Updates the roll-out of a service if its target is still `target`.
    pub(super) fn update_roll_out(
        &self,
        service: &str,
        target: &str,
        update: impl FnOnce(&mut RollOut),
    ) {
        let mut state = self.core.state.borrow_mut();
        let roll_out = state.roll_outs.get_mut(service);
        if let Some(roll_out) = roll_out.filter(|roll_out| *roll_out.target() == target) {
            update(roll_out);
        }
    }

    /// Applies what the store holds on a service's roll-out.
    fn apply_stored_state(&self, service: &ServiceId) {
        let now = self.core.clock.now();
        let mut state = self.core.state.borrow_mut();
        let Some(roll_out) = state.roll_outs.get_mut(service) else { return };
        let previous = roll_out.published_stage();
        if let Some(record) = self.stages.borrow().get(service)
            && record.target == *roll_out.target()
        {
            roll_out.apply_stage(record.stage.into(), now);
        }
        let reported = self.reported_progress.borrow();
        if let Some(progress) =
            reported.get(service).filter(|reported| reported.target == *roll_out.target())
        {
            match progress.outcome {
                Outcome::InProgress => roll_out.apply_stage(Stage::Trial, now),
                Outcome::Completed => roll_out.apply_stage(Stage::Completed, now),
                Outcome::Reverted => roll_out.apply_stage(Stage::Reverted, now),
            }
        }
        let after = roll_out.published_stage();
        if after == previous {
            return;
        }
        let target = roll_out.target().clone();
        drop(state);
        let stage = after.map_or(String::new(), |stage| format!("{stage:?}").to_lowercase());
        let event = RollOutEvent::Stage { service, target: &target, stage: &stage };
        self.core.event_log.record(LogPriority::State, &event);
    }
}
