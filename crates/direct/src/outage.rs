//! Outages of the store, as seen by all entries together.
//!
//! An entry that alone gets no response from the store may be cut off or rejected while the store
//! serves the others. The store was unavailable only for as long as no entry had a response from it,
//! so what other entries know shortens the outage that an entry sees.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time after the store's return within which backend servers whose records lapsed are listed
/// again.
pub const RELISTING_TIME: Duration = Duration::from_secs(2);

/// A time without a response from the store, on the local clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outage {
    /// When the store last confirmed the state before.
    pub from: Duration,
    /// When it responded again.
    pub until: Duration,
}

impl Outage {
    /// Length of the outage.
    pub fn length(&self) -> Duration {
        self.until.saturating_sub(self.from)
    }

    /// The time until which a record missing from the store may be listed again.
    pub fn relisting_end(&self) -> Duration {
        self.until.saturating_add(RELISTING_TIME)
    }
}

/// The last outage that records may have lapsed in.
#[derive(Debug)]
pub struct OutageLog {
    /// Shortest outage in which a record lapses.
    min_length: Duration,
    last: Option<Outage>,
}

impl OutageLog {
    /// Creates an empty log of outages of `min_length` or more.
    pub fn new(min_length: Duration) -> Self {
        OutageLog { min_length, last: None }
    }

    /// The last outage.
    pub fn last(&self) -> Option<Outage> {
        self.last
    }

    /// Records a time in which neither this entry nor, as far as it knows, another one had a
    /// response.
    pub fn record(&mut self, outage: Outage) {
        if outage.length() >= self.min_length {
            self.last = Some(outage);
        }
    }

    /// Records the last outage that another entry knows of. If the local state was `confirmed`
    /// during that outage, it was shorter.
    pub fn record_from_peer(&mut self, outage: Outage, confirmed: Option<Duration>) {
        let from = outage.from.max(confirmed.unwrap_or_default());
        self.record(Outage { from, ..outage });
    }

    /// Records that the store was restored from a backup, which may lack records whatever the
    /// length of the outage.
    pub fn record_restoration(&mut self, outage: Outage) {
        self.last = Some(outage);
    }

    /// The outage in which a record may have lapsed that is missing from a state confirmed at
    /// `confirmed`.
    pub fn may_have_lapsed_in(&self, confirmed: Option<Duration>) -> Option<Outage> {
        self.last.filter(|outage| confirmed.is_none_or(|at| at < outage.relisting_end()))
    }
}
