//! What entries tell one another, so that few of them need to watch the store.
//!
//! Each entry lists itself in the store. The first few, in an order that all entries work out
//! alike, watch the store; the others ask one of them, several times in a few seconds, for the
//! changes after the revision they hold. The answer tells how old its confirmation by the store
//! is, and the asker counts from before it asked: however late an answer is read, it never makes
//! the asker's state look fresher than it is. Whoever gets no answer, or an old one, goes on to
//! the next entry in order, and at last to the store itself.

mod client;
mod history;
mod server;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration,
};

use pondwalk_decide::direct::session_key;
use serde::{Deserialize, Serialize};

pub use client::{AskError, PeerClient, Told};
pub use history::History;
pub use server::serve;

/// Where entries list themselves, by name.
pub const ENTRY_PREFIX: &str = "pondwalk/entries/";
/// Entries for each one that watches the store, beyond the first.
const ENTRIES_PER_WATCHER: usize = 16;
/// First time for which an entry that did not answer is passed over; doubles with each in a row.
const FIRST_PASS_OVER: Duration = Duration::from_secs(4);
/// Longest such time.
const LONGEST_PASS_OVER: Duration = Duration::from_secs(60);

/// Time for which an entry that is behind the store itself is passed over. It may catch up with
/// the store's return at any moment.
const PASS_OVER_WHILE_BEHIND: Duration = Duration::from_secs(1);

/// Where an entry is asked for changes.
const CHANGES_PATH: &str = "/changes";
/// Where an entry is told of a bad version.
const BAD_VERSION_PATH: &str = "/bad-version";
/// Entries that are told of a bad version by one that cannot write to the store.
const ENTRIES_TOLD: usize = 3;

/// A version on trial that an entry has found bad.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BadVersion {
    /// Service on whose backend servers it runs.
    pub service: String,
    /// The version.
    pub target: String,
}

/// Changes that one entry tells another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Age of the confirmation by the store when the answer was made.
    pub confirmed_age_ms: u64,
    /// Revision that these changes lead to.
    pub revision: u64,
    /// The changes in order; absent if not all of them are remembered.
    pub changes: Option<Vec<KeyChange>>,
}

/// One change of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyChange {
    /// The key.
    pub key: String,
    /// Its value in base64; absent if the key was removed.
    pub value: Option<String>,
    /// Revision of the change.
    pub revision: u64,
}

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    passed_over_until: Duration,
    failures: u32,
}

/// The entries that are listed.
#[derive(Debug)]
pub struct Peers {
    own_name: String,
    listed: RefCell<BTreeMap<(u64, String), Peer>>,
    own_listed: Cell<bool>,
}

impl Peers {
    /// Knows of none.
    pub fn new(own_name: &str) -> Self {
        Peers {
            own_name: own_name.to_owned(),
            listed: RefCell::default(),
            own_listed: Cell::new(false),
        }
    }

    /// Learns of an entry, or that it is no longer listed.
    pub fn learn(&self, name: &str, address: Option<SocketAddr>) {
        let place = (session_key(name), name.to_owned());
        if name == self.own_name {
            self.own_listed.set(address.is_some());
        }
        let mut listed = self.listed.borrow_mut();
        match address {
            Some(address) => {
                let fresh = Peer { address, passed_over_until: Duration::ZERO, failures: 0 };
                listed.insert(place, fresh);
            }
            None => {
                listed.remove(&place);
            }
        }
    }

    /// The entry to ask for changes; `None` if this one is to watch the store.
    pub fn source(&self, now: Duration) -> Option<(String, SocketAddr)> {
        if !self.own_listed.get() {
            return None;
        }
        let listed = self.listed.borrow();
        let watchers = 1 + listed.len() / ENTRIES_PER_WATCHER;
        let able = listed.iter().filter(|(_, peer)| peer.passed_over_until <= now);
        let first: Vec<_> = able.take(watchers).collect();
        if first.is_empty() || first.iter().any(|((_, name), _)| *name == self.own_name) {
            return None;
        }
        let choice = session_key(&self.own_name) as usize % first.len();
        let ((_, name), peer) = first[choice];
        Some((name.clone(), peer.address))
    }

    /// Entries that are listed.
    pub fn count(&self) -> usize {
        self.listed.borrow().len()
    }

    /// A few other entries that answered when last asked.
    pub fn some_others(&self, now: Duration) -> Vec<SocketAddr> {
        let listed = self.listed.borrow();
        let able = listed
            .iter()
            .filter(|((_, name), peer)| *name != self.own_name && peer.passed_over_until <= now);
        able.take(ENTRIES_TOLD).map(|(_, peer)| peer.address).collect()
    }

    /// Position of the name that comes first in the order of entries.
    pub fn first_of(names: &[&str]) -> usize {
        let order = |(_, name): &(usize, &&str)| (session_key(name), (**name).to_owned());
        names.iter().enumerate().min_by_key(order).map_or(0, |(position, _)| position)
    }

    /// Whether this entry is among the first, so that others ask it.
    pub fn rest_on_this_one(&self) -> bool {
        let listed = self.listed.borrow();
        let watchers = 1 + listed.len() / ENTRIES_PER_WATCHER;
        let others = listed.len() > 1;
        others && listed.keys().take(watchers).any(|(_, name)| *name == self.own_name)
    }

    /// An entry answered, or failed to; one that failed is passed over for a while.
    pub fn note(&self, name: &str, error: Option<&AskError>, now: Duration) {
        let place = (session_key(name), name.to_owned());
        let mut listed = self.listed.borrow_mut();
        let Some(peer) = listed.get_mut(&place) else { return };
        match error {
            None => peer.failures = 0,
            Some(AskError::Old) => peer.passed_over_until = now + PASS_OVER_WHILE_BEHIND,
            Some(_) => {
                let time = FIRST_PASS_OVER * 2u32.pow(peer.failures.min(6));
                peer.passed_over_until = now + time.min(LONGEST_PASS_OVER);
                peer.failures += 1;
            }
        }
    }
}
