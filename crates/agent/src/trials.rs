//! The agent's own test of versions on trial: every request on a version passes its agents, so
//! evidence gathers here first.

use std::{collections::HashMap, time::Duration};

use pondwalk_decide::{Baseline, Trial, TrialStage};
use pondwalk_types::{Policy, Refusal, TaskId, VersionId};
use pondwalk_wire::RatingReport;

/// Trials of the versions hosted here, and ratings of the versions that they replace.
#[derive(Debug, Default)]
pub struct Trials {
    trials: HashMap<VersionId, (VersionId, Trial)>,
    baselines: HashMap<(VersionId, TaskId), Baseline>,
}

impl Trials {
    /// Takes over the roll-outs of a configuration; trials under way go on.
    pub fn install(&mut self, policy: &Policy) {
        let mut trials = HashMap::new();
        for roll_out in &policy.roll_outs {
            let known = self.trials.remove(&roll_out.version);
            let kept = known.filter(|(replaces, _)| *replaces == roll_out.replaces);
            let trial = kept.map(|(_, trial)| trial).unwrap_or_default();
            trials.insert(roll_out.version.clone(), (roll_out.replaces.clone(), trial));
        }
        self.trials = trials;
    }

    /// Counts a run that is about to be admitted; refuses it once the version has tripped.
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

    /// Takes back a run that was not admitted after all.
    pub fn never_ran(&mut self, version: &VersionId) {
        if let Some((_, trial)) = self.trials.get_mut(version) {
            trial.record_not_run();
        }
    }

    /// Takes in how a run ended.
    pub fn ended(&mut self, now: Duration, version: &VersionId, failed: bool) {
        const OLD_FAILURE_RATE: f64 = 0.01;
        if let Some((_, trial)) = self.trials.get_mut(version) {
            trial.record_end(now, failed, OLD_FAILURE_RATE);
        }
    }

    /// Takes in a rating.
    pub fn rate(&mut self, now: Duration, report: &RatingReport) {
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

    /// Versions that have tripped.
    pub fn tripped(&self) -> Vec<VersionId> {
        self.trials.keys().filter(|version| self.is_tripped(version)).cloned().collect()
    }
}
