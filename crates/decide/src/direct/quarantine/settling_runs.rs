//! Successful runs whose servers may still crash.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use pondwalk_types::{RequestId, ServerId};

use super::FeatureHash;

/// Time after the end of a run within which a crash of its server may be due to it.
const SETTLING_TIME: Duration = Duration::from_millis(500);

/// A run that ended well.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettlingRun {
    /// Id of the request.
    pub request: RequestId,
    /// Prompt parts of its request.
    pub parts: Vec<FeatureHash>,
    /// Hash of the server's identity.
    pub server: u64,
    /// Id of the server.
    pub server_id: ServerId,
    /// Address of the server.
    pub address: SocketAddr,
}

/// Runs that ended well within [`SETTLING_TIME`], the oldest first, with when they ended.
#[derive(Debug, Default)]
pub struct SettlingRuns {
    runs: VecDeque<(Duration, SettlingRun)>,
}

impl SettlingRuns {
    /// Adds a run that ended now.
    pub fn push(&mut self, run: SettlingRun, now: Duration) {
        self.runs.push_back((now, run));
    }

    /// Removes the runs at a server that crashed, and returns their parts.
    pub fn drain(&mut self, server: u64) -> Vec<FeatureHash> {
        let mut parts = Vec::new();
        self.runs.retain_mut(|(_, run)| {
            let is_elsewhere = run.server != server;
            if !is_elsewhere {
                parts.append(&mut run.parts);
            }
            is_elsewhere
        });
        parts
    }

    /// Removes and returns the next run that has settled.
    pub fn pop_settled(&mut self, now: Duration) -> Option<SettlingRun> {
        self.runs.pop_front_if(|(ended_at, _)| now >= *ended_at + SETTLING_TIME).map(|(_, run)| run)
    }
}
