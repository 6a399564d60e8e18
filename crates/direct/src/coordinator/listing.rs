//! Lists entries in the store: those that have started, by one of the roots in one write.

use std::time::Duration;

use pondwalk_store::Change;

use super::{Coordinator, records::RollOutEvent};
use crate::{
    event_log::LogPriority,
    membership::{ChangeSource, ENTRY_PREFIX, Gossip, Listing},
    metrics::StoreCause,
};

/// Entries listed by one write. The platform's store takes up to 32 rows in a call, and each change
/// is a condition and a write.
const MAX_LISTINGS_PER_WRITE: usize = 16;
/// Age of the news of an entry's start from which it is listed, so that those that start together
/// are listed together.
const BATCH_DELAY: Duration = Duration::from_millis(300);

impl Coordinator {
    /// Lists the entries that have told of their start, if it is this one's turn; `wait` is how long
    /// it leaves that to the others.
    pub(super) async fn list_joined(&self, wait: Duration) {
        // NB: while the store is away nobody can be listed, and each try counts as a call.
        let asks_others = matches!(self.core.source(), ChangeSource::Entry { .. });
        let is_write_pending = self.core.clock.now() < self.listing_pending_until.get();
        if asks_others || is_write_pending || self.core.outage().is_some() {
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
                // NB: whoever is not listed in the end lists itself.
                return;
            }
        }
    }

    /// Lists this entry by a write of its own; for when nobody else has.
    pub async fn list_self(&self, listing: Listing) {
        let name = &self.core.settings.name;
        let change = self.listing(name, &listing);
        let key = change.key.clone();
        // NB: an entry that is not listed is asked by nobody, and tries again.
        if let Err(error) = self.commit(vec![change], StoreCause::Listing).await {
            let event = RollOutEvent::NotListed { key, error: error.to_string() };
            self.core.event_log.record(LogPriority::State, &event);
        }
    }

    fn listing(&self, name: &str, listing: &Listing) -> Change {
        self.change(format!("{ENTRY_PREFIX}{name}"), listing.to_string().into_bytes())
    }

    /// Entries that started this long ago and are not listed where they are.
    fn unlisted(&self, min_age: Duration) -> Vec<(String, Listing)> {
        let now = self.core.clock.now();
        let news = self.core.gossip.borrow();
        let mut unlisted = Vec::new();
        for (age, item) in news.all(now) {
            let Gossip::Joined { listing } = item.news else { continue };
            if age >= min_age && !self.core.members.is_stored(&item.origin, listing) {
                unlisted.retain(|(name, _)| *name != item.origin);
                unlisted.push((item.origin.clone(), listing));
            }
        }
        unlisted
    }
}
