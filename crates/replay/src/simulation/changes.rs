//! What the trace changes: policies, versions and servers.

use std::time::Duration;

use pondwalk_types::{Executed, Refusal, RollOut, VersionId, VersionState};

use super::{Simulation, book::Run};
use crate::events::RunIx;

impl Simulation<'_> {
    pub(super) fn install(&mut self) {
        self.generation += 1;
        self.driver.install(self.generation, &self.policy);
    }

    pub(super) fn roll_out(&mut self, version: &VersionId, replaces: &VersionId) {
        self.policy.add_version(version);
        let roll_out = RollOut { version: version.clone(), replaces: replaces.clone() };
        self.policy.roll_outs.retain(|known| known.version != *version);
        self.policy.roll_outs.push(roll_out);
        self.report.exposed_requests.entry(version.clone()).or_default();
        self.install();
    }

    pub(super) fn withdraw(&mut self, now: Duration, version: &VersionId) {
        self.policy.versions.entry(version.clone()).or_default().state = VersionState::Withdrawn;
        self.install();
        for server in 0..self.fleet.len() {
            let runs = &self.runs;
            let queue = &mut self.fleet.get_mut(server).queue;
            for run in queue.cancel_where(|run| runs[*run].version == *version) {
                self.refused(now, run, Refusal::VersionWithdrawn(version.clone()));
            }
        }
    }

    pub(super) fn leaving_seen(&mut self, now: Duration, server: usize) {
        if self.fleet.get_mut(server).leaving_since.is_none() {
            return;
        }
        let name = self.fleet.get_mut(server).name.clone();
        self.driver.server_leaving(&name);
        for run in self.fleet.get_mut(server).queue.cancel_where(|_| true) {
            self.refused(now, run, Refusal::Draining);
        }
    }

    pub(super) fn gone(&mut self, now: Duration, name: &str) {
        let Some(server) = self.fleet.find(name) else {
            return;
        };
        self.driver.server_leaving(name);
        self.fleet.get_mut(server).close();
        let there = |run: &Run| run.server == server && run.is_open();
        let cut: Vec<RunIx> = (0..self.runs.len()).filter(|run| there(&self.runs[*run])).collect();
        for run in cut {
            let spent = self.close_run(now, run);
            self.failed(now, run, Executed::Unknown, spent, Refusal::ContactLost);
        }
    }
}
