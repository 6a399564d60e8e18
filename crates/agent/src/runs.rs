//! Waiting and running runs, by key.

use std::collections::HashMap;

use pondwalk_types::{Incarnation, VersionId};
use pondwalk_wire::{RunKey, StartRequest};
use tokio::task::AbortHandle;
use tracing::Span;

/// A run that waits for a slot.
#[derive(Debug)]
pub struct WaitingRun {
    /// The request.
    pub request: StartRequest,
    /// The tracing span of the run.
    pub span: Span,
}

impl WaitingRun {
    /// The requested version.
    pub fn version(&self) -> VersionId {
        self.request.work.version().clone()
    }
}

/// The stage of a run.
#[derive(Debug)]
pub enum Stage {
    /// Waiting for a slot.
    Waiting(Box<WaitingRun>),
    /// Running on the backend server.
    Running {
        /// Aborts the run.
        task: AbortHandle,
        /// The version that it runs on.
        version: VersionId,
    },
}

/// Runs by key.
#[derive(Debug, Default)]
pub struct Runs {
    runs: HashMap<RunKey, Stage>,
}

impl Runs {
    /// The version of a waiting run.
    pub fn waiting_version(&self, run: &RunKey) -> Option<&VersionId> {
        match self.runs.get(run)? {
            Stage::Waiting(waiting) => Some(waiting.request.work.version()),
            Stage::Running { .. } => None,
        }
    }

    /// Whether a version has waiting or running runs.
    pub fn has_version(&self, version: &VersionId) -> bool {
        self.runs.values().any(|stage| match stage {
            Stage::Waiting(waiting) => waiting.request.work.version() == version,
            Stage::Running { version: running, .. } => running == version,
        })
    }

    /// Removes a run and returns it if it was waiting.
    pub fn remove_waiting(&mut self, run: &RunKey) -> Option<WaitingRun> {
        match self.runs.remove(run)? {
            Stage::Waiting(waiting) => Some(*waiting),
            Stage::Running { .. } => None,
        }
    }

    /// Adds a run, or replaces its stage.
    pub fn insert(&mut self, run: RunKey, stage: Stage) {
        self.runs.insert(run, stage);
    }

    /// Removes a run and returns its stage.
    pub fn remove(&mut self, run: &RunKey) -> Option<Stage> {
        self.runs.remove(run)
    }

    /// Keys of all runs started by an entry.
    pub fn started_by(&self, entry: Incarnation) -> Vec<RunKey> {
        self.runs.keys().filter(|run| run.entry == entry).copied().collect()
    }
}
