//! Collects this entry's work for other entries, and applies the sum of theirs.

use std::time::Duration;

use pondwalk_decide::direct::LoadSummary;

use crate::state::State;

impl State {
    /// This entry's own work, without that of other entries.
    pub fn collect_load(&mut self, _now: Duration) -> LoadSummary {
        LoadSummary::default()
    }

    /// Applies the sum of the other entries' work; `None` if none was received recently.
    pub fn apply_load(&mut self, _peers: Option<&LoadSummary>, _now: Duration) {}
}
