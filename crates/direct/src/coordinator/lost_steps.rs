//! Writes again what a store that was restored from a copy has lost of the roll-outs.
//!
//! No entry forgets how far a roll-out has come. Where the store holds less than that, the operator was told
//! less, and the step is due once more.

use pondwalk_decide::direct::{RollOut, RollOutStep, Stage};

use super::Coordinator;
use crate::{catalog::ServiceId, port::Outcome};

impl Coordinator {
    /// Forgets what the store held before it was restored; what it holds now is learned next.
    pub fn clear_stored(&self) {
        self.stages.borrow_mut().clear();
        self.reported_progress.borrow_mut().clear();
        self.clear_quarantine_record();
    }

    /// Finds the roll-outs that are further than the restored store knows.
    pub fn find_lost_steps(&self) {
        let state = self.core.state.borrow();
        let known = state.roll_outs.iter();
        let lost = known.filter(|(service, roll_out)| self.is_step_missing(service, roll_out));
        self.lost_steps.borrow_mut().extend(lost.map(|(service, _)| service.clone()));
    }

    /// The step of a roll-out that the store has lost, if it still lacks it.
    pub(super) fn lost_step(&self, service: &ServiceId, roll_out: &RollOut) -> Option<RollOutStep> {
        let is_lost = self.lost_steps.borrow().contains(service);
        if is_lost && self.is_step_missing(service, roll_out) {
            roll_out.published_stage().map(step_for)
        } else {
            None
        }
    }

    /// Whether the store holds an earlier stage of a roll-out than is known, or the operator was told so.
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

/// What the operator is told at a stage.
pub(super) fn outcome_at(stage: Stage) -> Outcome {
    match stage {
        Stage::Trial | Stage::Widening => Outcome::InProgress,
        Stage::Completed => Outcome::Completed,
        Stage::Reverted => Outcome::Reverted,
    }
}
