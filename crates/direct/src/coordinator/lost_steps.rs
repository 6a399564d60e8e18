//! Rewrites roll-out steps that are missing from a store restored from a backup.
//!
//! Entries remember the stage of each roll-out. If the restored store holds an earlier one, the
//! operator's view is behind as well, and the step becomes due again.

use pondwalk_decide::direct::{RollOut, RollOutStep, Stage};

use super::Coordinator;
use crate::{catalog::ServiceId, port::Outcome};

impl Coordinator {
    /// Forgets the store's content from before the restoration; the restored content is applied
    /// next.
    pub fn clear_stored(&self) {
        self.stages.borrow_mut().clear();
        self.reported_progress.borrow_mut().clear();
        self.clear_quarantine_record();
    }

    /// Marks the roll-outs whose stage is ahead of the restored store.
    pub fn find_lost_steps(&self) {
        let state = self.core.state.borrow();
        let known = state.roll_outs.iter();
        let lost = known.filter(|(service, roll_out)| self.is_step_missing(service, roll_out));
        self.lost_steps.borrow_mut().extend(lost.map(|(service, _)| service.clone()));
    }

    /// The step of a roll-out that the store lost, if it is still missing.
    pub(super) fn lost_step(&self, service: &ServiceId, roll_out: &RollOut) -> Option<RollOutStep> {
        let is_lost = self.lost_steps.borrow().contains(service);
        if is_lost && self.is_step_missing(service, roll_out) {
            roll_out.published_stage().map(step_for)
        } else {
            None
        }
    }

    /// Whether the store's stage record or the reported progress is behind the stage known here.
    fn is_step_missing(&self, service: &ServiceId, roll_out: &RollOut) -> bool {
        let Some(known) = roll_out.published_stage() else { return false };
        let (stages, reported) = (self.stages.borrow(), self.reported_progress.borrow());
        let stage = stages.get(service).filter(|record| record.target == *roll_out.target());
        let progress =
            reported.get(service).filter(|reported| reported.target == *roll_out.target());
        stage.is_none_or(|record| Stage::from(record.stage) < known)
            || progress.is_none_or(|reported| reported.outcome != outcome_at(known))
    }
}

/// The step that leads to a stage.
fn step_for(stage: Stage) -> RollOutStep {
    match stage {
        Stage::Trial => RollOutStep::Begin,
        Stage::Widening => RollOutStep::Widen,
        Stage::Completed => RollOutStep::Complete,
        Stage::Reverted => RollOutStep::Revert,
    }
}

/// The outcome reported to the operator at a stage.
pub(super) fn outcome_at(stage: Stage) -> Outcome {
    match stage {
        Stage::Trial | Stage::Widening => Outcome::InProgress,
        Stage::Completed => Outcome::Completed,
        Stage::Reverted => Outcome::Reverted,
    }
}
