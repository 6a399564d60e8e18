//! Simulated servers: their slots and the admission queues of their agents.

use std::{collections::HashMap, time::Duration};

use pondwalk_decide::{AdmissionQueue, QueuedWork};
use pondwalk_types::{Policy, ServerId, WorkspacePolicy};

use super::accounting::{RequestState, Run};
use crate::events::RunIx;

/// Service time that agents expect of every run on a model; it is constant because queues are
/// ordered by shares rather than by service times.
const EXPECTED_SERVICE_TIME: Duration = Duration::from_secs(1);

/// A simulated server.
pub struct SimulatedServer {
    pub name: ServerId,
    pub queue: AdmissionQueue<RunIx>,
    pub leaving_since: Option<Duration>,
}

impl SimulatedServer {
    /// Drops all running and queued runs.
    pub fn clear(&mut self) {
        self.queue = AdmissionQueue::new(0, 0);
    }
}

/// All servers, by index and by id.
pub struct Fleet {
    queue_limit: u32,
    indices: HashMap<ServerId, usize>,
    servers: Vec<SimulatedServer>,
}

impl Fleet {
    pub fn new(queue_limit: u32) -> Self {
        Fleet { queue_limit, indices: HashMap::new(), servers: Vec::new() }
    }

    pub fn len(&self) -> usize {
        self.servers.len()
    }

    pub fn find(&self, name: &str) -> Option<usize> {
        self.indices.get(name).copied()
    }

    pub fn get_mut(&mut self, server: usize) -> &mut SimulatedServer {
        &mut self.servers[server]
    }

    /// Adds a server, or updates the slots of an existing one, which is then no longer leaving.
    pub fn add_or_update(&mut self, name: &str, slots: u32) {
        if let Some(known) = self.find(name) {
            let server = &mut self.servers[known];
            server.leaving_since = None;
            server.queue.set_limits(slots, self.queue_limit);
            return;
        }
        self.indices.insert(name.to_owned(), self.servers.len());
        let queue = AdmissionQueue::new(slots, self.queue_limit);
        self.servers.push(SimulatedServer { name: name.to_owned(), queue, leaving_since: None });
    }

    /// Returns a run as an item of its agent's queue.
    pub fn queued_work(
        &self,
        ticket: RunIx,
        run: &Run,
        request: &RequestState<'_>,
        policy: &Policy,
    ) -> QueuedWork<RunIx> {
        let recorded = request.recorded;
        let fallback = WorkspacePolicy::default();
        let workspace = policy.workspaces.get(&recorded.workspace).unwrap_or(&fallback);
        let expected_service_time =
            if run.is_service { Duration::from_millis(10) } else { EXPECTED_SERVICE_TIME };
        QueuedWork {
            ticket,
            workspace: recorded.workspace.clone(),
            priority: workspace.priority,
            share_weight: workspace.share_weight,
            expected_service_time,
            deadline: request.arrived + recorded.deadline,
            stated_deadline: recorded.deadline,
        }
    }
}
