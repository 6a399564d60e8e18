//! Collects this entry's work for other entries, and applies the sum of theirs.

use std::time::Duration;

use pondwalk_decide::direct::{Demand, LoadKey, LoadSummary, name_key};

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
        self.collect_demands(&mut summary, now);
        summary
    }

    /// Applies the sum of the other entries' work; `None` if none was received recently.
    pub fn apply_load(&mut self, peers: Option<&LoadSummary>, now: Duration) {
        self.fleets.values_mut().for_each(|fleet| fleet.apply_peer_load(peers, now));
        self.apply_demands(peers);
    }

    /// Adds the demands of the workspaces at this entry.
    fn collect_demands(&mut self, summary: &mut LoadSummary, now: Duration) {
        for (service, shares) in &mut self.shares {
            let service = name_key(service);
            for (workspace, offered_ms_per_s) in shares.own_demands(now) {
                let demand = Demand { offered_ms_per_s: offered_ms_per_s as f32 };
                summary.demands.insert((service, workspace), demand);
            }
        }
    }

    /// Applies the demands of the workspaces at other entries.
    fn apply_demands(&mut self, peers: Option<&LoadSummary>) {
        for (service, shares) in &mut self.shares {
            let service = name_key(service);
            let demands = peers.map(|peers| {
                let of_service = peers.demands.range((service, 0)..=(service, LoadKey::MAX));
                of_service.map(|((_, workspace), demand)| {
                    (*workspace, f64::from(demand.offered_ms_per_s))
                })
            });
            shares.set_peers(demands);
        }
    }
}
