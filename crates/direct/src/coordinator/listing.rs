//! Lists started entries in the store, several in one write by a root.

use std::time::Duration;

use pondwalk_store::Change;

use super::{Coordinator, records::RollOutEvent};
use crate::{
    event_log::LogPriority,
    membership::{ENTRY_PREFIX, Gossip, Listing},
    metrics::StoreCause,
};

/// Entries listed per write. The platform's store accepts up to 32 rows per call, and each change
/// takes a condition and a write.
const MAX_LISTINGS_PER_WRITE: usize = 16;
/// Age at which an announced start is listed, so that entries that start together are listed in one
/// write.
const BATCH_DELAY: Duration = Duration::from_millis(300);

impl Coordinator {
    /// Lists the entries that announced their start, if this entry is next in rotation; `wait` is
    /// its rotation delay.
    pub(super) async fn list_joined(&self, wait: Duration) {
        // During an outage no entry can be listed, and each attempt counts as a store call.
        let is_write_pending = self.core.clock.now() < self.listing_pending_until.get();
        if !self.core.writes_for_others() || is_write_pending || self.core.outage().is_some() {
            return;
        }
        let unlisted = self.unlisted(BATCH_DELAY + wait);
        if !unlisted.is_empty() {
            self.listing_pending_until.set(self.core.clock.now() + self.propagation_time());
        }
        for batch in unlisted.chunks(MAX_LISTINGS_PER_WRITE) {
            let changes = batch.iter().map(|(name, listing)| self.listing(name, listing));
            if let Err(error) = self.commit(changes.collect(), StoreCause::Listing).await {
                let key = format!("{ENTRY_PREFIX}{}", batch[0].0);
                let event = RollOutEvent::NotListed { key, error: error.to_string() };
                self.core.event_log.record(LogPriority::State, &event);
                // An entry that stays unlisted lists itself.
                return;
            }
        }
    }

    /// Lists this entry with a write of its own, for when no root has done so.
    pub async fn list_self(&self, listing: Listing) {
        let name = &self.core.settings.name;
        let change = self.listing(name, &listing);
        let key = change.key.clone();
        // An unlisted entry receives no requests from others and retries later.
        if let Err(error) = self.commit(vec![change], StoreCause::Listing).await {
            let event = RollOutEvent::NotListed { key, error: error.to_string() };
            self.core.event_log.record(LogPriority::State, &event);
        }
    }

    fn listing(&self, name: &str, listing: &Listing) -> Change {
        self.change(format!("{ENTRY_PREFIX}{name}"), listing.to_string().into_bytes())
    }

    /// Entries that announced their start at least `min_age` ago and aren't listed at that address.
    fn unlisted(&self, min_age: Duration) -> Vec<(String, Listing)> {
        let now = self.core.clock.now();
        let gossip = self.core.gossip.borrow();
        let mut unlisted = Vec::new();
        for (age, item) in gossip.all(now) {
            let Gossip::Joined { listing } = item.news else { continue };
            if age >= min_age && !self.core.members.is_stored(&item.origin, listing) {
                unlisted.retain(|(name, _)| *name != item.origin);
                unlisted.push((item.origin.clone(), listing));
            }
        }
        unlisted
    }
}
