//! Sessions and the versions they keep.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{
    intern::{TaskIx, VersionIx, WorkspaceIx},
    tuning::{SESSION_IDLE, SESSION_LIMIT},
};

#[derive(Debug, Clone, Copy)]
struct Pin {
    version: VersionIx,
    used: Duration,
}

/// Pins seen by this process, and what sessions of each workspace ask for.
#[derive(Debug, Default)]
pub struct Sessions {
    pins: HashMap<(WorkspaceIx, Box<str>), Pin>,
    order: VecDeque<(WorkspaceIx, Box<str>)>,
    /// Requests within sessions, by workspace and task.
    mix: Vec<Vec<f64>>,
}

impl Sessions {
    /// The version a session keeps, if it is known here.
    pub fn pin(&self, workspace: WorkspaceIx, session: &str, now: Duration) -> Option<VersionIx> {
        // NB: the key is built only for sessions, which carry far larger texts than their name.
        let pin = self.pins.get(&(workspace, session.into()))?;
        (now.saturating_sub(pin.used) <= SESSION_IDLE).then_some(pin.version)
    }

    /// Pins a session, or notes that its pin was used.
    pub fn keep(
        &mut self,
        workspace: WorkspaceIx,
        session: &str,
        version: VersionIx,
        now: Duration,
    ) {
        let key = (workspace, Box::from(session));
        if self.pins.insert(key.clone(), Pin { version, used: now }).is_none() {
            self.order.push_back(key);
        }
        while self.order.len() > SESSION_LIMIT {
            if let Some(oldest) = self.order.pop_front() {
                self.pins.remove(&oldest);
            }
        }
    }

    /// Notes what a session asked for.
    pub fn count(&mut self, workspace: WorkspaceIx, task: TaskIx) {
        let tasks = self.mix_mut(workspace);
        if tasks.len() <= task {
            tasks.resize(task + 1, 0.0);
        }
        tasks[task] += 1.0;
    }

    /// Shares of the tasks in a workspace's sessions; empty before the first.
    pub fn mix(&self, workspace: WorkspaceIx) -> impl Iterator<Item = (TaskIx, f64)> + Clone + '_ {
        let tasks = self.mix.get(workspace).map(Vec::as_slice).unwrap_or_default();
        let total: f64 = tasks.iter().sum();
        let present = tasks.iter().enumerate().filter(|(_, count)| **count > 0.0);
        present.map(move |(task, count)| (task, count / total))
    }

    fn mix_mut(&mut self, workspace: WorkspaceIx) -> &mut Vec<f64> {
        if self.mix.len() <= workspace {
            self.mix.resize_with(workspace + 1, Vec::new);
        }
        &mut self.mix[workspace]
    }
}
