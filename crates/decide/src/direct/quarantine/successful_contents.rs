//! Remembers contents that succeeded.

use std::{collections::HashMap, time::Duration};

use super::ContentHash;

/// Time after which a success is forgotten, at the latest after twice as long; the effect of a
/// request may change with the server's software.
const SUCCESS_RETENTION: Duration = Duration::from_secs(300);
/// Number of contents remembered, at most twice as many; some 30 bytes each.
const MAX_SUCCESSFUL_CONTENTS: usize = 8_192;
/// Crashes after the latest success for which a content stays exempt: as many as two requests that
/// crash servers cause before they are quarantined.
const MAX_FORGIVEN_CRASHES: usize = 8;

/// Contents that succeeded recently at this entry. A request that crashes every server never
/// succeeds, so these contents are not quarantined when servers crash while running them, by chance
/// or because of another request. Identical requests of many callers are in flight wherever a
/// server crashes.
#[derive(Debug, Default)]
pub struct SuccessfulContents {
    /// Crashes since the latest success, by content.
    newer: HashMap<ContentHash, usize>,
    older: HashMap<ContentHash, usize>,
    /// When the older generation was replaced.
    rotated_at: Duration,
}

impl SuccessfulContents {
    /// Records a successful run of a content.
    pub fn record_success(&mut self, content: ContentHash, now: Duration) {
        if self.newer.len() >= MAX_SUCCESSFUL_CONTENTS || now >= self.rotated_at + SUCCESS_RETENTION
        {
            self.older = std::mem::take(&mut self.newer);
            self.rotated_at = now;
        }
        self.newer.insert(content, 0);
    }

    /// Records that a server crashed under a content, here or at another entry.
    pub fn record_crash(&mut self, content: ContentHash) {
        let (newer, older) = (self.newer.get_mut(&content), self.older.get_mut(&content));
        if let Some(crashes) = newer.or(older) {
            *crashes += 1;
        }
    }

    /// Whether the content succeeded recently and is exempt from quarantine.
    pub fn is_exempt(&self, content: ContentHash) -> bool {
        let crashes = self.newer.get(&content).or(self.older.get(&content));
        crashes.is_some_and(|crashes| *crashes <= MAX_FORGIVEN_CRASHES)
    }
}
