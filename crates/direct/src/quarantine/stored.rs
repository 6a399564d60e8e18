//! What the store holds of contents that are held, for entries that know nothing yet.
//!
//! News goes from entry to entry in a fraction of a second, but not past a cut between them, and nobody
//! remembers it after a restart of all. What is held is therefore also written to the store: one key,
//! at most once in two seconds, and only when there is something to add or to take away.

use std::time::Duration;

use pondwalk_decide::direct::ServerCrash;
use serde::{Deserialize, Serialize};

use super::AgedCrash;

/// Key of the record.
pub const QUARANTINE_KEY: &str = "pondwalk/quarantine";
/// Ends that the record holds at most, some 100 bytes each. A few contents end servers at a time.
pub const MAX_STORED_CRASHES: usize = 256;

/// The record.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredQuarantine {
    /// When it was written, in milliseconds of Unix time by the writer's clock.
    pub written_ms: u64,
    /// The ends, with the time since each when it was written.
    pub ends: Vec<AgedCrash>,
}

impl StoredQuarantine {
    /// Time between the writing and `now_ms`; none if the clocks disagree.
    pub fn age(&self, now_ms: u64) -> Duration {
        Duration::from_millis(now_ms.saturating_sub(self.written_ms))
    }

    /// Whether it holds an end.
    pub fn contains(&self, crash: &ServerCrash) -> bool {
        self.ends.iter().any(|(stored, _)| stored.id == crash.id)
    }
}
