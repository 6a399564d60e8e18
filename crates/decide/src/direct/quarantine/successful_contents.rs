//! Contents that went well.

use std::{collections::HashMap, time::Duration};

use super::ContentHash;

/// Time after which contents that came to a good end are forgotten, up to twice as long; what a request
/// does to a server may change with the server's software.
const LIFE_OF_GOOD: Duration = Duration::from_secs(300);
/// Such contents that are remembered, up to twice as many; some 30 bytes each.
const MOST_GOOD: usize = 8_192;
/// Ends of servers that are forgiven such a content until its next good end: what two requests that end
/// servers bring about before they are held.
const MOST_FORGIVEN: usize = 8;

/// Contents that have come to a good end of late, at this entry. One that ends every server that runs it
/// never has; so these are not held when some servers end with them aboard, by chance or by another
/// request. Callers who all ask the same are aboard wherever a server ends.
#[derive(Debug, Default)]
pub struct SuccessfulContents {
    /// Ends of servers since the latest good end, by content.
    newer: HashMap<ContentHash, usize>,
    older: HashMap<ContentHash, usize>,
    /// When the older ones were the newer ones.
    rotated_at: Duration,
}

impl SuccessfulContents {
    /// A run of a content came to a good end.
    pub fn record_success(&mut self, content: ContentHash, now: Duration) {
        if self.newer.len() >= MOST_GOOD || now >= self.rotated_at + LIFE_OF_GOOD {
            self.older = std::mem::take(&mut self.newer);
            self.rotated_at = now;
        }
        self.newer.insert(content, 0);
    }

    /// A server ended under a content, here or at another entry.
    pub fn record_crash(&mut self, content: ContentHash) {
        let (newer, older) = (self.newer.get_mut(&content), self.older.get_mut(&content));
        if let Some(ends) = newer.or(older) {
            *ends += 1;
        }
    }

    /// Whether a content is known to be good.
    pub fn is_exempt(&self, content: ContentHash) -> bool {
        let ends = self.newer.get(&content).or(self.older.get(&content));
        ends.is_some_and(|ends| *ends <= MOST_FORGIVEN)
    }
}
