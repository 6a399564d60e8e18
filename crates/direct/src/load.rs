//! Collects this entry's work for other entries, and applies the sum of theirs.

use std::time::Duration;

use pondwalk_decide::direct::{LoadSummary, name_key};

use crate::state::State;

impl State {
    /// This entry's own work, without that of other entries.
    pub fn collect_load(&mut self, now: Duration) -> LoadSummary {
        let mut summary = LoadSummary::default();
        self.fleets.values().for_each(|fleet| fleet.collect_load(now, &mut summary));
        for (service, budget) in &mut self.budgets {
            let work = summary.services.entry(name_key(service)).or_default();
            work.requests = budget.requests_by_half_window(now);
        }
        summary
    }

    /// Applies the sum of the other entries' work; `None` if none was received recently.
    pub fn apply_load(&mut self, peers: Option<&LoadSummary>, now: Duration) {
        self.fleets.values_mut().for_each(|fleet| fleet.apply_peer_load(peers, now));
    }
}
