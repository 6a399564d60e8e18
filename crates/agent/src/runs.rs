//! The runs that wait or are under way, by name.

use std::collections::HashMap;

use pondwalk_types::{Incarnation, VersionId};
use pondwalk_wire::{RunKey, StartRequest};
use tokio::task::AbortHandle;
use tracing::Span;

/// A run that waits for a slot.
#[derive(Debug)]
pub struct WaitingRun {
    /// What it asks for.
    pub request: StartRequest,
    /// The span that it is traced in.
    pub span: Span,
}

impl WaitingRun {
    /// The version it asks for.
    pub fn version(&self) -> VersionId {
        self.request.work.version().clone()
    }
}

/// How far a run has come.
#[derive(Debug)]
pub enum Stage {
    /// It waits for a slot.
    Waiting(Box<WaitingRun>),
    /// It is under way.
    Running {
        /// Ends it.
        task: AbortHandle,
        /// Version that it runs on.
        version: VersionId,
    },
}

/// Runs by name.
#[derive(Debug, Default)]
pub struct Runs {
    runs: HashMap<RunKey, Stage>,
}

impl Runs {
    /// The version of a waiting run.
    pub fn version(&self, run: &RunKey) -> Option<&VersionId> {
        match self.runs.get(run)? {
            Stage::Waiting(waiting) => Some(waiting.request.work.version()),
            Stage::Running { .. } => None,
        }
    }

    /// Whether a version has runs under way.
    pub fn any_on(&self, version: &VersionId) -> bool {
        self.runs.values().any(|stage| match stage {
            Stage::Waiting(waiting) => waiting.request.work.version() == version,
            Stage::Running { version: running, .. } => running == version,
        })
    }

    /// Takes a waiting run out.
    pub fn remove(&mut self, run: &RunKey) -> Option<WaitingRun> {
        match self.runs.remove(run)? {
            Stage::Waiting(waiting) => Some(*waiting),
            Stage::Running { .. } => None,
        }
    }

    /// A run waits, or is under way, from now on.
    pub fn insert(&mut self, run: RunKey, stage: Stage) {
        self.runs.insert(run, stage);
    }

    /// Forgets a run; tells how far it has come.
    pub fn take(&mut self, run: &RunKey) -> Option<Stage> {
        self.runs.remove(run)
    }

    /// All runs of an entry.
    pub fn of_entry(&self, entry: Incarnation) -> Vec<RunKey> {
        self.runs.keys().filter(|run| run.entry == entry).copied().collect()
    }
}
