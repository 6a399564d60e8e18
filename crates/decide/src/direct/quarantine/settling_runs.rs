//! Successful runs whose servers may still crash.

use std::{collections::VecDeque, time::Duration};

use super::FeatureHash;

/// Time after the end of a run within which a crash of its server may be due to it.
const SETTLING_TIME: Duration = Duration::from_millis(500);

/// A run that ended well.
#[derive(Debug)]
struct SettlingRun {
    features: Vec<FeatureHash>,
    /// Hash of the server's identity.
    server: u64,
    ended_at: Duration,
}

/// Runs that ended well within [`SETTLING_TIME`], the oldest first.
#[derive(Debug, Default)]
pub struct SettlingRuns {
    runs: VecDeque<SettlingRun>,
}

impl SettlingRuns {
    /// Adds a run.
    pub fn push(&mut self, features: Vec<FeatureHash>, server: u64, now: Duration) {
        self.runs.push_back(SettlingRun { features, server, ended_at: now });
    }

    /// Removes the runs at a server that crashed.
    pub fn discard(&mut self, server: u64) {
        self.runs.retain(|run| run.server != server);
    }

    /// Removes and returns the features of the next run that has settled.
    pub fn pop_settled(&mut self, now: Duration) -> Option<Vec<FeatureHash>> {
        self.runs.pop_front_if(|run| now >= run.ended_at + SETTLING_TIME).map(|run| run.features)
    }
}
