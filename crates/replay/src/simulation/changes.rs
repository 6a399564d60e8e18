//! Changes by the trace: configuration, versions and servers.

use std::time::Duration;

use pondwalk_types::{Executed, Refusal, RollOut, VersionId, VersionState};

use super::{Simulation, accounting::Run};
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
                self.on_run_refused(now, run, Refusal::VersionWithdrawn(version.clone()));
            }
        }
    }

    pub(super) fn on_leaving_listed(&mut self, now: Duration, server: usize) {
        if self.fleet.get_mut(server).leaving_since.is_none() {
            return;
        }
        let name = self.fleet.get_mut(server).name.clone();
        self.driver.deactivate_server(&name);
        for run in self.fleet.get_mut(server).queue.cancel_where(|_| true) {
            self.on_run_refused(now, run, Refusal::Draining);
        }
    }

    pub(super) fn remove_server(&mut self, now: Duration, name: &str) {
        let Some(server) = self.fleet.find(name) else {
            return;
        };
        self.driver.deactivate_server(name);
        self.fleet.get_mut(server).clear();
        let is_interrupted = |run: &Run| run.server == server && run.is_open();
        let interrupted: Vec<RunIx> =
            (0..self.runs.len()).filter(|run| is_interrupted(&self.runs[*run])).collect();
        for run in interrupted {
            let spent = self.close_run(now, run);
            self.on_run_failed(now, run, Executed::Unknown, spent, Refusal::ContactLost);
        }
    }
}
