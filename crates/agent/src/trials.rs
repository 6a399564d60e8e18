//! The agent's test of versions on trial.
//!
//! All requests to a server pass its agent, so evidence accumulates here first.

use std::{collections::HashMap, time::Duration};

use pondwalk_decide::{Baseline, Trial, TrialStage};
use pondwalk_types::{Policy, Refusal, TaskId, VersionId};
use pondwalk_wire::RatingReport;

/// Trials of new versions, and rating baselines of the versions that they replace.
#[derive(Debug, Default)]
pub struct Trials {
    trials: HashMap<VersionId, (VersionId, Trial)>,
    baselines: HashMap<(VersionId, TaskId), Baseline>,
}

impl Trials {
    /// Installs the roll-outs of a configuration; trials in progress continue.
    pub fn install(&mut self, policy: &Policy) {
        let mut trials = HashMap::new();
        for roll_out in &policy.roll_outs {
            let current = self.trials.remove(&roll_out.version);
            let continued = current.filter(|(replaces, _)| *replaces == roll_out.replaces);
            let trial = continued.map(|(_, trial)| trial).unwrap_or_default();
            trials.insert(roll_out.version.clone(), (roll_out.replaces.clone(), trial));
        }
        self.trials = trials;
    }

    /// Records the start of a run, or refuses it if the version has tripped.
    pub fn admit(&mut self, version: &VersionId) -> Result<(), Refusal> {
        let Some((_, trial)) = self.trials.get_mut(version) else {
            return Ok(());
        };
        if matches!(trial.stage(), TrialStage::Tripped(_)) {
            return Err(Refusal::VersionWithdrawn(version.clone()));
        }
        trial.record_start();
        Ok(())
    }

    /// Reverts [`Self::admit`] for a run that was not executed.
    pub fn record_not_run(&mut self, version: &VersionId) {
        if let Some((_, trial)) = self.trials.get_mut(version) {
            trial.record_not_run();
        }
    }

    /// Records the end of a run.
    pub fn record_end(&mut self, now: Duration, version: &VersionId, failed: bool) {
        const ASSUMED_OLD_FAILURE_RATE: f64 = 0.01;
        if let Some((_, trial)) = self.trials.get_mut(version) {
            trial.record_end(now, failed, ASSUMED_OLD_FAILURE_RATE);
        }
    }

    /// Records a rating of an answer.
    pub fn record_rating(&mut self, now: Duration, report: &RatingReport) {
        if let Some((replaces, trial)) = self.trials.get_mut(&report.version) {
            let key = (replaces.clone(), report.task.clone());
            let baseline = self.baselines.get(&key).copied().unwrap_or_default();
            trial.record_rating(now, report.quality, baseline.reference());
        }
        let others = self.trials.iter_mut().filter(|(version, _)| **version != report.version);
        others.for_each(|(_, (_, trial))| trial.record_other_rating());
        let key = (report.version.clone(), report.task.clone());
        self.baselines.entry(key).or_default().add(report.quality);
    }

    /// Whether a version has tripped.
    pub fn is_tripped(&self, version: &VersionId) -> bool {
        let trial = self.trials.get(version);
        trial.is_some_and(|(_, trial)| matches!(trial.stage(), TrialStage::Tripped(_)))
    }

    /// All tripped versions.
    pub fn tripped(&self) -> Vec<VersionId> {
        self.trials.keys().filter(|version| self.is_tripped(version)).cloned().collect()
    }
}
