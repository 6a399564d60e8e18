//! Sessions pinned to versions.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{
    intern::{TaskIx, VersionIx, WorkspaceIx},
    tuning::{MAX_SESSIONS, SESSION_IDLE_TIMEOUT},
};

#[derive(Debug, Clone, Copy)]
struct Pin {
    version: VersionIx,
    last_used: Duration,
}

/// Session pins seen by this process, and the distribution of tasks in sessions.
#[derive(Debug, Default)]
pub struct Sessions {
    pins: HashMap<(WorkspaceIx, Box<str>), Pin>,
    order: VecDeque<(WorkspaceIx, Box<str>)>,
    /// Number of session requests by workspace and task.
    task_counts: Vec<Vec<f64>>,
}

impl Sessions {
    /// The version that a session is pinned to, if this process has seen it recently.
    pub fn pinned_version(
        &self,
        workspace: WorkspaceIx,
        session: &str,
        now: Duration,
    ) -> Option<VersionIx> {
        // NB: the allocation is small compared with the prompts that sessions carry.
        let pin = self.pins.get(&(workspace, session.into()))?;
        (now.saturating_sub(pin.last_used) <= SESSION_IDLE_TIMEOUT).then_some(pin.version)
    }

    /// Pins a session, or refreshes its pin.
    pub fn pin_session(
        &mut self,
        workspace: WorkspaceIx,
        session: &str,
        version: VersionIx,
        now: Duration,
    ) {
        let key = (workspace, Box::from(session));
        if self.pins.insert(key.clone(), Pin { version, last_used: now }).is_none() {
            self.order.push_back(key);
        }
        while self.order.len() > MAX_SESSIONS {
            if let Some(oldest) = self.order.pop_front() {
                self.pins.remove(&oldest);
            }
        }
    }

    /// Records a session request.
    pub fn record_request(&mut self, workspace: WorkspaceIx, task: TaskIx) {
        let tasks = self.task_counts_mut(workspace);
        if tasks.len() <= task {
            tasks.resize(task + 1, 0.0);
        }
        tasks[task] += 1.0;
    }

    /// Share of each task in a workspace's session requests; empty before the first request.
    pub fn task_shares(
        &self,
        workspace: WorkspaceIx,
    ) -> impl Iterator<Item = (TaskIx, f64)> + Clone + '_ {
        let tasks = self.task_counts.get(workspace).map(Vec::as_slice).unwrap_or_default();
        let total: f64 = tasks.iter().sum();
        let present = tasks.iter().enumerate().filter(|(_, count)| **count > 0.0);
        present.map(move |(task, count)| (task, count / total))
    }

    fn task_counts_mut(&mut self, workspace: WorkspaceIx) -> &mut Vec<f64> {
        if self.task_counts.len() <= workspace {
            self.task_counts.resize_with(workspace + 1, Vec::new);
        }
        &mut self.task_counts[workspace]
    }
}
