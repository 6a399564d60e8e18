//! The quarantine record in the store, for entries that start without any state.
//!
//! Gossip spreads in a fraction of a second, but not across a network partition, and it is lost
//! when all entries restart. The quarantine is therefore also written to the store: one key, at
//! most once every two seconds, and only if there is something to add or remove.

use std::time::Duration;

use pondwalk_decide::direct::ServerCrash;
use serde::{Deserialize, Serialize};

use super::AgedCrash;

/// Key of the record.
pub const QUARANTINE_KEY: &str = "pondwalk/quarantine";
/// Maximum number of crashes in the record, about 100 bytes each. Few contents crash servers at a
/// time.
pub const MAX_STORED_CRASHES: usize = 256;

/// The record.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredQuarantine {
    /// Time of the write, in milliseconds since the Unix epoch by the writer's clock.
    pub written_ms: u64,
    /// The crashes, each with its age at the time of the write.
    pub ends: Vec<AgedCrash>,
}

impl StoredQuarantine {
    /// Time from the write to `now_ms`; zero if the clocks disagree.
    pub fn age(&self, now_ms: u64) -> Duration {
        Duration::from_millis(now_ms.saturating_sub(self.written_ms))
    }

    /// Whether the record contains a crash.
    pub fn contains(&self, crash: &ServerCrash) -> bool {
        self.ends.iter().any(|(stored, _)| stored.id == crash.id)
    }
}
